Feature: A request that crashes servers stops reaching them in a fleet of processes

  Scenario Outline: its caller sends it again at once, <isolation>, while <fault>
    Guards against a request that reaches servers after the third has crashed under
    it: while verdicts are pending, after a change of the leader, or after a restart
    of the router that saw the crashes.

    Given a fleet with 8 booking servers that crash under one request, <isolation>
    When its caller sends it again at once for 16 s while <fault>
    Then it reaches servers at most 3 times later than 3 s after the third crash
    And other requests of the fleet are served then

    Examples:
      | isolation          | fault                                  |
      | with isolation     | nothing else happens                   |
      | without isolation  | nothing else happens                   |
      | without isolation  | the leader is killed at the first crash  |
      | without isolation  | the leader is killed at the third crash |
      | without isolation  | each router is killed at a crash       |
