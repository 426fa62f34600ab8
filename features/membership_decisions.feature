Feature: The leader keeps the group of voting controllers complete

  Guards against a group that stays short after a loss, that loses a member
  which lives, or that counts an old vote of a controller whose disk is new.

  Scenario Outline: <case>
    Given the members <members> of a group of <size>
    And the members <silent> silent for <ms> ms
    When the controllers <joining> ask to join
    Then the next change <change>

    Examples:
      | case                             | members   | size | silent | ms   | joining | change    |
      | nobody asks, one is silent       | 1 2 3 4 5 | 5    | 5      | 9000 | -       | is none   |
      | the group is short               | 1 2 3     | 5    | -      | 0    | 4       | adds 4    |
      | a member asks                    | 1 2 3     | 3    | -      | 0    | 2       | is none   |
      | a disk was lost                  | 1 2 3     | 3    | -      | 0    | 2-ab    | removes 2 |
      | a disk was lost, the group short | 1 2 3     | 5    | -      | 0    | 2-ab    | removes 2 |
      | two disks were lost              | 1 2 3 4 5 | 5    | -      | 0    | 5-cd 4-ab | removes 4 |
      | the old identity is gone         | 1 3       | 3    | -      | 0    | 2-ab    | adds 2-ab |
      | a machine was replaced           | 1 2 3     | 3    | 3      | 1500 | 4       | removes 3 |
      | all members live                 | 1 2 3     | 3    | 3      | 1499 | 4       | is none   |
      | the group is too large           | 1 2 3 4   | 3    | 2      | 2000 | -       | removes 2 |
      | too large, all live              | 1 2 3 4   | 3    | 2      | 100  | -       | is none   |

  Scenario Outline: the address of a controller stands in its id, <name>
    Then the controller "<name>" has the control address "<address>"

    Examples:
      | name                 | address       |
      | 10.1.0.36-7400       | 10.1.0.36:7400 |
      | 10.1.0.36-7400-9f3a  | 10.1.0.36:7400 |
      | c1                   | none          |
      | 10.1.0.36            | none          |
