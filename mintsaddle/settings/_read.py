"""Parsing of a daemon's settings; all findings are reported together."""

import logging

from returns.result import Failure, Result, Success

from mintsaddle.ini import FieldReader, Section, read_document
from mintsaddle.settings._requests import DEFAULT_REQUEST_LIMITS, RequestLimits
from mintsaddle.settings._settings import Role, Settings
from mintsaddle.values import Finding, Findings

_SECTION = "daemon"
_MAX_THREADS = 4_096
_MEGABYTE = 1_048_576


def read_settings(source: str, text: str) -> Result[Settings, Findings]:
    """Return the settings in an INI text, or all findings.

    Args:
        source: Name of the file, used in findings.
        text: Content of the file.
    """
    document = read_document(source, text)
    findings = list(document.findings)
    daemon_section = None
    for section in document.sections:
        if section.name == _SECTION:
            daemon_section = section
            continue
        problem = f"is not a known section; the only one is [{_SECTION}]"
        findings.append(Finding(source, section.line, section.name, "", problem))
    if daemon_section is None:
        findings.append(Finding(source, 0, _SECTION, "", "is missing; add it"))
        return Failure(tuple(findings))
    settings = _read_daemon(source, daemon_section, findings)
    if findings:
        return Failure(tuple(sorted(findings, key=lambda finding: finding.line)))
    return Success(settings)


def _read_daemon(source: str, section: Section, findings: list[Finding]) -> Settings:
    fields = FieldReader(source, section, findings)
    role = Role(fields.read_choice("role", [role.value for role in Role], "entry"))
    is_entry = role is Role.ENTRY
    settings = Settings(
        vm=fields.read_text("vm"),
        data_centre=fields.read_text("data centre"),
        role=role,
        address=fields.read_address("address"),
        platform=fields.read_address("platform"),
        peers=fields.read_names("peers"),
        http=fields.read_address("http", None if is_entry else ""),
        threads=fields.read_integer("threads", 1, _MAX_THREADS, 64),
        engine=fields.read_address("engine", "" if is_entry else None),
        grace=fields.read_number("grace", 0.0, 60.0, 2.0),
        memory=_MEGABYTE * fields.read_integer("memory", 64, 65_536, 256),
        requests=_read_request_limits(fields),
        log_level=fields.read_choice(
            "log level", logging.getLevelNamesMapping(), "INFO"
        ),
    )
    for peer in settings.peers:
        fields.check_address("peers", peer)
    if is_entry and settings.engine:
        fields.report("engine", "applies only to an endpoint; this daemon is an entry")
    if not is_entry and settings.http:
        fields.report("http", "applies only to an entry; this daemon is an endpoint")
    fields.report_unknown()
    return settings


def _read_request_limits(fields: FieldReader) -> RequestLimits:
    default = DEFAULT_REQUEST_LIMITS
    return RequestLimits(
        memory_share=fields.read_number(
            "request memory share", 0.01, 0.5, default.memory_share
        ),
        body_seconds=fields.read_number(
            "body seconds", 0.1, 3_600.0, default.body_seconds
        ),
        unfinished_share=fields.read_number(
            "unfinished share", 0.05, 1.0, default.unfinished_share
        ),
        framing_factor=fields.read_number(
            "framing factor", 1.0, 100.0, default.framing_factor
        ),
    )
