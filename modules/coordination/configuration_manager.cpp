#include "lovageledge/coordination/configuration_manager.hpp"

#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

using std::chrono::milliseconds;

const std::string head_kind = "configuration";
const std::string head_name = "head";
const std::string part_kind = "sheet";
constexpr auto watch_retry_pause = milliseconds{500};
constexpr auto fetch_pause = milliseconds{200};

} // namespace

configuration_manager::configuration_manager(const instance_identity& self,
                                             const coordination_settings& settings, const event_log& log,
                                             const membership& members, platform_calls& calls)
    : self_{self}, settings_{settings}, log_{log}, members_{members}, calls_{calls} {}

bool configuration_manager::offer(revision_number revision, const std::string& digest,
                                  const std::vector<std::string>& parts, const std::string& source) {
    const bool is_newer = !current_ || revision > current_->revision;
    const bool is_same = current_ && revision == current_->revision;
    if (is_same) {
        return false;
    }
    if (!is_newer && settings_.safeguard.revision_guard) {
        log_(event::configuration_rejected, fmt::format("revision={} in_force={} source={} reason=older",
                                                        revision, current_->revision, source));
        return false;
    }
    error why;
    auto assembled = assemble_configuration(revision, digest, parts, why);
    if (!assembled) {
        log_(event::configuration_rejected,
             fmt::format("revision={} source={} reason=\"{}\"", revision, source, why.text()));
        return false;
    }
    current_ = std::make_shared<const configuration>(std::move(*assembled));
    sheet_.clear();
    for (const std::string& part : parts) {
        sheet_ += part;
    }
    digest_ = digest;
    has_adopted_ = true;
    log_(event::configuration_adopted,
         fmt::format("revision={} digest={} source={}", revision, digest, source));
    return true;
}

bool configuration_manager::take_adopted() {
    return std::exchange(has_adopted_, false);
}

void configuration_manager::on_tick(time_point now, command_list& out) {
    const bool should_watch = members_.is_watcher() || !current_;
    if (should_watch && !is_watching_ && now >= next_watch_) {
        watch(out);
    }
    if (now >= next_fetch_) {
        fetch_from_peer(now, out);
    }
}

void configuration_manager::watch(command_list& out) {
    is_watching_ = true;
    calls_.start(
        {0, platform_operation::watch, head_kind, head_name, head_version_, ""},
        [this](const platform_response& answer, time_point now, command_list& commands) {
            is_watching_ = false;
            on_head(answer, now, commands);
        },
        out);
}

void configuration_manager::on_head(const platform_response& answer, time_point now, command_list& out) {
    protocol::RevisionRecord head;
    if (answer.status != platform_status::ok || !from_json(answer.data, head)) {
        next_watch_ = now + watch_retry_pause;
        return;
    }
    const bool is_newer = !current_ || head.revision() > current_->revision;
    if (is_newer || !settings_.safeguard.revision_guard) {
        head_version_ = answer.version;
        read_part(head, {}, out);
        return;
    }
    if (head.revision() < current_->revision) {
        // An old read. Waiting on its version would return at once, so wait on time instead.
        next_watch_ = now + watch_retry_pause;
        return;
    }
    head_version_ = answer.version;
}

void configuration_manager::read_part(const protocol::RevisionRecord& head,
                                      const std::vector<std::string>& parts, command_list& out) {
    if (parts.size() == head.parts()) {
        offer(head.revision(), head.digest(), parts, "platform");
        return;
    }
    const std::string name = sheet_part_object_name(head.apply_id(), parts.size());
    calls_.start(
        {0, platform_operation::get, part_kind, name, 0, ""},
        [this, head, parts](const platform_response& answer, time_point now, command_list& commands) {
            if (answer.status != platform_status::ok) {
                head_version_ = 0; // The next watch returns at once and starts over.
                next_watch_ = now + watch_retry_pause;
                return;
            }
            auto more = parts;
            more.push_back(answer.data);
            read_part(head, more, commands);
        },
        out);
}

void configuration_manager::fetch_from_peer(time_point now, command_list& out) {
    const revision_number mine = current_ ? current_->revision : 0;
    std::vector<instance_name> newer;
    for (const auto& [name, peer] : members_.peers()) {
        if (!peer.is_suspected && peer.revision > mine) {
            newer.push_back(name);
        }
    }
    if (newer.empty()) {
        return;
    }
    next_fetch_ = now + fetch_pause;
    protocol::Envelope message;
    message.mutable_configuration_fetch()->set_revision(mine + 1);
    out.emplace_back(send_to_peer{newer[fetch_attempts_++ % newer.size()], std::move(message)});
}

void configuration_manager::on_fetch(const instance_name& from, const protocol::ConfigurationFetch& fetch,
                                     command_list& out) const {
    if (!current_ || current_->revision < fetch.revision()) {
        return;
    }
    const std::vector<std::string> parts = split_sheet(sheet_);
    for (std::size_t index = 0; index < parts.size(); ++index) {
        protocol::Envelope message;
        auto* part = message.mutable_configuration_part();
        part->set_revision(current_->revision);
        part->set_digest(digest_);
        part->set_index(static_cast<std::uint32_t>(index));
        part->set_count(static_cast<std::uint32_t>(parts.size()));
        part->set_sheet(parts[index]);
        out.emplace_back(send_to_peer{from, std::move(message)});
    }
}

bool configuration_manager::on_part(const instance_name& from, const protocol::ConfigurationPart& part) {
    incoming_sheet& sheet = incoming_[from];
    if (sheet.revision != part.revision()) {
        sheet = {part.revision(), {}};
    }
    sheet.parts[part.index()] = part.sheet();
    if (sheet.parts.size() < part.count()) {
        return false;
    }
    std::vector<std::string> parts;
    for (auto& [index, text] : sheet.parts) {
        parts.push_back(std::move(text));
    }
    incoming_.erase(from);
    return offer(part.revision(), part.digest(), parts, from.text());
}

} // namespace lovageledge
