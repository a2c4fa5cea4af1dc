#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace lovageledge {

/**
    A string identifier that cannot be confused with an identifier of another kind.

    Each kind of identifier is an alias with its own tag type, so that passing a server's name where an
    instance's name is expected does not compile. Copies may be used in different threads.
*/
template <class Tag>
class strong_id {
public:
    strong_id() = default;

    /** @param text the identifier as it appears in messages and settings */
    explicit strong_id(std::string text) : text_{std::move(text)} {}

    /** @returns the identifier as text */
    const std::string& text() const noexcept { return text_; }

    /** @returns true if the identifier is the empty string */
    bool is_empty() const noexcept { return text_.empty(); }

    auto operator<=>(const strong_id&) const = default; // NOLINT(modernize-use-nullptr)

    friend std::ostream& operator<<(std::ostream& out, const strong_id& id) { return out << id.text_; }

private:
    std::string text_;
};

/** Names an instance, which is a process of this system. The name stays the same across restarts. */
using instance_name = strong_id<struct instance_name_tag>;
/** Identifies one run of an instance or an engine; each restart gets a new identifier. */
using start_id = strong_id<struct start_id_tag>;
/** Names a backend server. */
using server_name = strong_id<struct server_name_tag>;
/** Names a pool of backend servers that serve the same adapters. */
using pool_name = strong_id<struct pool_name_tag>;
/** Names a calling service that the sheet declares. */
using service_name = strong_id<struct service_name_tag>;
/** Names a client account of the configuration. */
using account_name = strong_id<struct account_name_tag>;
/** Names a region. */
using region_name = strong_id<struct region_name_tag>;
/** Names a data centre. */
using data_centre_name = strong_id<struct data_centre_name_tag>;
/** Identifies a request in the whole system and across restarts. */
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
