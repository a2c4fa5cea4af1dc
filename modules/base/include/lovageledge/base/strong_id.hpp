#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lovageledge {

/**
    An identifier that cannot be mixed up with one of another kind.

    Each kind of identifier is an alias with a tag of its own, so that passing a server's name where an
    instance's name is expected does not compile. Safe to copy between threads.
*/
template <class Tag>
class strong_id {
public:
    strong_id() = default;

    /** Wraps a text. @param text the identifier as it appears in messages and settings */
    explicit strong_id(std::string text) : text_{std::move(text)} {}

    /** @returns the identifier as text */
    const std::string& text() const noexcept { return text_; }

    /** @returns true if no identifier was given */
    bool is_empty() const noexcept { return text_.empty(); }

    auto operator<=>(const strong_id&) const = default; // NOLINT(modernize-use-nullptr)

    friend std::ostream& operator<<(std::ostream& out, const strong_id& id) { return out << id.text_; }

private:
    std::string text_;
};

/** Names one of our own processes; it stays the same over restarts. */
using instance_name = strong_id<struct instance_name_tag>;
/** Identifies one start of a process, ours or an engine's; every restart has a new one. */
using start_id = strong_id<struct start_id_tag>;
/** Names a backend server. */
using server_name = strong_id<struct server_name_tag>;
/** Names a pool of backend servers that serve the same adapters. */
using pool_name = strong_id<struct pool_name_tag>;
/** Names a calling service, as the sheet declares it. */
using service_name = strong_id<struct service_name_tag>;
/** Names a region. */
using region_name = strong_id<struct region_name_tag>;
/** Names a data centre. */
using data_centre_name = strong_id<struct data_centre_name_tag>;
/** Identifies a request over the whole system and over restarts. */
using request_id = strong_id<struct request_id_tag>;
/** Names an adapter and its version, in the form NAME@VERSION. */
using adapter_key = strong_id<struct adapter_key_tag>;

} // namespace lovageledge

template <class Tag>
struct std::hash<lovageledge::strong_id<Tag>> {
    std::size_t operator()(const lovageledge::strong_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.text());
    }
};
