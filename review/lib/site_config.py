"""The operators' configuration of the stand-in deployment, with the figures of sites/piensaime-lv.toml."""

import copy

HEALTH_PATH = "/healthz"
HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
ENGINES = "huvo11a"
LEDGER = "wuno96b"

ROUTES = [
    {"name": "r-stream", "host": HOST, "prefix": "/pufi791/", "kind": "streaming", "timeout_ms": 8000,
     "target_latency_ms": 400, "priority": 1, "service": ENGINES, "max_attempts": 2, "public": False,
     "sticky": True, "resumable": True, "gap_aim_ms": 120},
    {"name": "r-unsafe", "host": HOST, "prefix": "/puxa403/", "kind": "unsafe", "timeout_ms": 800,
     "target_latency_ms": 300, "priority": 2, "service": LEDGER, "max_attempts": 1, "public": False},
    {"name": "r-safe", "host": HOST, "prefix": "/cufi504/", "kind": "safe", "timeout_ms": 800,
     "target_latency_ms": 300, "priority": 2, "service": LEDGER, "max_attempts": 2, "public": False},
]
SERVICES = [
    {"name": ENGINES, "health_path": HEALTH_PATH, "max_conns": 408, "protocol": "h1", "tls": False,
     "cold_start_s": 3.0, "cold_per_s": 36.0,
     "engine": {
         "slots": 12, "kv_capacity": 494000, "kv_token_bytes": 35136, "link_mbps": 180000.0, "stride": 6,
         "models": [{"name": "m"}], "step_ms": 4.84, "per_seq_ms": 0.362, "context_per_k": 0.011,
         "read_per_s": 74800.0, "pairs_per_m": 0.232, "chunk": 512, "report_lag_ms": 200.0,
         "loads_per_s": 0.0, "loads_at_once": 8, "delays": [], "usual": {"prompt": 835, "answer": 159},
         "sets": 4, "experts": 72, "places": 8, "spare": 3, "expert_mb": 2200.0, "expert_share": 0.85,
         "form_ms": 600.0}},
    {"name": LEDGER, "health_path": HEALTH_PATH, "max_conns": 100, "protocol": "h1", "tls": False,
     "cold_start_s": 0.0, "cold_per_s": 0.0},
]
LIMITS = {
    "max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def config(version, **limits):
    return copy.deepcopy({
        "version": version, "routes": ROUTES, "services": SERVICES, "limits": {**LIMITS, **limits},
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    })


def headers(request_id, deadline_ms):
    return [
        ("Host", HOST), ("X-Knapweedford-Request-Id", request_id),
        ("X-Knapweedford-Deadline-Ms", str(deadline_ms)), ("Api-Key", KEY),
    ]
