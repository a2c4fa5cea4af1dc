#include "lovageledge/coordination/sheet_publisher.hpp"

#include "lovageledge/state/sheet.hpp"

namespace lovageledge {
namespace {

const std::string head_kind = "configuration";
const std::string head_name = "head";
const std::string part_kind = "sheet";
const std::string record_kind = "revision";
constexpr auto retry_pause = std::chrono::milliseconds{200};
constexpr auto publish_limit = std::chrono::seconds{10};

} // namespace

void sheet_publisher::publish(publication_request request, const std::string& base_sheet, time_point now,
                              command_list& out) {
    const std::string id = request.apply_id;
    auto [item, is_new] = publications_.try_emplace(id);
    if (!is_new) {
        return; // The same apply is under way already; both callers get its end.
    }
    publication& fresh = item->second;
    fresh.began = now;
    fresh.parts = split_sheet(request.sheet);
    fresh.record.set_apply_id(id);
    fresh.record.set_revision(request.based_on + 1);
    fresh.record.set_author(request.author);
    fresh.record.set_reason(request.reason);
    fresh.record.set_accepted_at(request.accepted_at);
    fresh.record.set_digest(sha256_hex(request.sheet));
    fresh.record.set_parts(static_cast<std::uint32_t>(fresh.parts.size()));
    std::uint32_t added = 0;
    std::uint32_t removed = 0;
    for (const std::string& line : diff_sheets(base_sheet, request.sheet)) {
        ++(line.starts_with('+') ? added : removed);
    }
    fresh.record.set_lines_added(added);
    fresh.record.set_lines_removed(removed);
    fresh.request = std::move(request);
    std::vector<sheet_error> errors;
    if (!parse_sheet(fresh.request.sheet, fresh.record.revision(), errors)) {
        std::string reason;
        for (const sheet_error& problem : errors) {
            reason += (reason.empty() ? "" : "\n") + problem.text();
        }
        finish(id, publication_status::invalid, reason, {}, out);
        return;
    }
    read_head(id, out);
}

void sheet_publisher::read_head(const std::string& id, command_list& out) {
    publications_.at(id).next_try = time_point::max();
    calls_.start(
        {0, platform_operation::get, head_kind, head_name, 0, ""},
        [this, id](const platform_response& answer, time_point now, command_list& commands) {
            on_head(id, answer, now, commands);
        },
        out);
}

void sheet_publisher::on_head(const std::string& id, const platform_response& answer, time_point now,
                              command_list& out) {
    publication& item = publications_.at(id);
    protocol::RevisionRecord head;
    const bool is_first = answer.status == platform_status::not_found;
    const bool is_read = answer.status == platform_status::ok && from_json(answer.data, head);
    if (!is_first && !is_read) {
        item.next_try = now + retry_pause;
        return;
    }
    if (is_read && head.apply_id() == id) {
        on_published_(head, item.parts);
        finish(id, publication_status::in_force, "", head, out);
        return;
    }
    if (head.revision() != item.request.based_on) {
        finish(id, publication_status::conflict,
               "the sheet was planned on revision " + std::to_string(item.request.based_on) +
                   ", in force is " + std::to_string(head.revision()),
               head, out);
        return;
    }
    item.head_version = answer.version;
    item.record.set_previous(head.apply_id());
    if (item.step == phase::reading_head) {
        item.step = phase::writing_parts;
    }
    write_next(id, out);
}

void sheet_publisher::write_next(const std::string& id, command_list& out) {
    publication& item = publications_.at(id);
    call_platform call{0, platform_operation::put, "", "", 0, ""};
    if (item.step == phase::writing_parts && item.next_part == item.parts.size()) {
        item.step = phase::writing_record;
    }
    if (item.step == phase::writing_parts) {
        call.kind = part_kind;
        call.name = sheet_part_object_name(id, item.next_part);
        call.data = item.parts[item.next_part];
    } else {
        const bool is_head = item.step == phase::writing_head;
        call.kind = is_head ? head_kind : record_kind;
        call.name = is_head ? head_name : id;
        call.if_version = is_head ? item.head_version : 0;
        call.data = to_json(item.record);
    }
    calls_.start(
        std::move(call),
        [this, id](const platform_response& answer, time_point now, command_list& commands) {
            on_write(id, answer, now, commands);
        },
        out);
}

void sheet_publisher::on_write(const std::string& id, const platform_response& answer, time_point now,
                               command_list& out) {
    publication& item = publications_.at(id);
    if (answer.status == platform_status::unavailable) {
        item.next_try = now + retry_pause;
        return;
    }
    if (item.step == phase::writing_head) {
        if (answer.status == platform_status::ok) {
            on_published_(item.record, item.parts);
            finish(id, publication_status::in_force, "", item.record, out);
            return;
        }
        read_head(id, out); // Someone else's sheet won, or an earlier try of ours did.
        return;
    }
    // A conflict on the parts or the record means that an earlier try wrote the same content.
    if (item.step == phase::writing_parts) {
        ++item.next_part;
    } else {
        item.step = phase::writing_head;
    }
    write_next(id, out);
}

void sheet_publisher::finish(const std::string& id, publication_status status, std::string reason,
                             const protocol::RevisionRecord& in_force, command_list& out) {
    out.emplace_back(finish_publication{id, status, std::move(reason), in_force});
    publications_.erase(id);
}

void sheet_publisher::on_tick(time_point now, command_list& out) {
    std::vector<std::string> due;
    for (const auto& [id, item] : publications_) {
        if (now >= item.next_try) {
            due.push_back(id);
        }
    }
    for (const std::string& id : due) {
        publication& item = publications_.at(id);
        if (now - item.began < publish_limit) {
            read_head(id, out);
            continue;
        }
        const bool may_be_in_force = item.step == phase::writing_head;
        finish(id, may_be_in_force ? publication_status::unknown : publication_status::unavailable,
               "the platform does not answer", {}, out);
    }
}

} // namespace lovageledge
