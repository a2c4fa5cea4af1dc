#!/bin/sh
# The platform's names on the wire belong to platform/ only. Lists each other place and fails if there is one.
set -eu
cd "$(dirname "$0")/.."
names='X-Model|X-Token-Usage|X-Prompt-Prefix|X-Expect-(Instance|Version)|X-Instance-Id|X-Not-Executed|X-Server-Load|X-Request-Priority|X-Response-Seal|X-Pin-Ms|X-Kv-Backup|Kv-From|Kv-Fetch|expected_rev|path_prefix"|traffic_split|max_attempts"|as_of|more_pages|LOVAGELEDGE_BOOT'
if git grep -nE "$names" -- modules programs; then
    echo "the names above belong to platform/" >&2
    exit 1
fi
