#!/bin/sh
# Fails if modules/ or programs/ use a header or field name of the platform's API, which only platform/ may, and lists each use.
set -eu
cd "$(dirname "$0")/.."
names='X-Model|X-Token-Usage|X-Prompt-Prefix|X-Expect-(Instance|Version)|X-Instance-Id|X-Not-Executed|X-Server-Load|Server-Leaving|Store-Era|X-Request-Priority|X-Response-Seal|X-Pin-Ms|X-Kv-Backup|Kv-From|Kv-Fetch|expected_rev|path_prefix"|traffic_split|max_attempts"|as_of|more_pages|LOVAGELEDGE_BOOT|X-Tenant|"tenants"|api_keys|plain_tokens|rate_per_s"|"token_stream"'
# ledged's own interface has this header too.
gateway_names='"Authorization|"Bearer'
status=0
git grep -nE "$names" -- modules programs && status=1
git grep -nE "$gateway_names" -- modules/serving modules/gateway programs/gateway && status=1
if [ $status -ne 0 ]; then
    echo "error: the names above may be used in platform/ only" >&2
    exit 1
fi
