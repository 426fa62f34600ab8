"""Authorities and certificates for fleets over TLS."""

import datetime
import ipaddress

from cryptography import x509
from cryptography.hazmat.primitives import hashes
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

_DAY = datetime.timedelta(days=1)


def _name(text):
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _pem(certificate):
    return certificate.public_bytes(serialization.Encoding.PEM)


class Authority:
    """Issues certificates for processes on loopback.

    Attributes:
      pem: Certificate of the authority.
      trusted: Authorities that the processes trust.
    """

    def __init__(self, name):
        self._name = _name(name)
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._certificate = self._sign(
            self._name,
            self._key,
            2,
            x509.BasicConstraints(ca=True, path_length=0),
        )
        self.pem = _pem(self._certificate)
        self.trusted = (self,)

    def issue(self, folder, name, days=1):
        """Writes the files of a process, over those that it had.

        Args:
          folder: Folder of the files.
          name: Name of the process.
          days: Life of the certificate from now; below 0 it has expired.

        Returns:
          The field `tls` of its settings.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(
            _name(name),
            key,
            days,
            x509.SubjectAlternativeName(
                [x509.IPAddress(ipaddress.ip_address("127.0.0.1"))]
            ),
        )
        parts = {
            "certificate": _pem(certificate),
            "private_key": key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            ),
            "authority": b"".join(x.pem for x in self.trusted),
        }
        for part, pem in parts.items():
            (folder / f"{name}.{part}.pem").write_bytes(pem)
        return {part: str(folder / f"{name}.{part}.pem") for part in parts}

    def _sign(self, subject, key, days, extension):
        end = datetime.datetime.now(datetime.UTC) + days * _DAY
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(end - 10 * _DAY)
            .not_valid_after(end)
            .add_extension(extension, critical=True)
            .sign(self._key, hashes.SHA256())
        )
