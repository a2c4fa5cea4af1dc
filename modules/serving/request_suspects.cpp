#include "lovageledge/serving/request_suspects.hpp"

#include <algorithm>
#include <spdlog/fmt/fmt.h>

namespace lovageledge {
namespace {

/** Most parts of a prompt that are looked at as suspects. */
constexpr std::size_t max_suspect_parts = 32;

} // namespace

request_suspects::request_suspects(const crash_suspect& request, const pool_name& service,
                                   const std::vector<prompt_part>& parts)
    : suspects_{request} {
    const std::size_t shared = std::min(parts.empty() ? 0 : parts.size() - 1, max_suspect_parts);
    for (std::size_t i = 0; i < shared; ++i) {
        const crash_suspect suspect = make_prompt_part_suspect(service, parts[i].id);
        if (std::find(suspects_.begin(), suspects_.end(), suspect) == suspects_.end()) {
            suspects_.push_back(suspect);
            part_ids_.push_back(parts[i].id);
        }
    }
}

std::string request_suspects::describe_refusal(const crash_suspect& suspect) const {
    if (suspect.kind == suspect_kind::request) {
        return fmt::format("this request crashed the servers that ran it, fingerprint {:016x}",
                           suspect.digest);
    }
    const auto position = std::find(suspects_.begin() + 1, suspects_.end(), suspect) - suspects_.begin();
    return fmt::format(
        "part {} of the prompt crashed the servers that began to answer it, fingerprint {:016x}",
        part_ids_[static_cast<std::size_t>(position) - 1], suspect.digest);
}

std::string request_suspects::describe_parts(const crash_registry& crashes) const {
    std::string text;
    for (std::size_t i = 0; i < part_ids_.size(); ++i) {
        const crash_suspect& suspect = suspects_[i + 1];
        text += fmt::format("{}{}/{:016x}/{}", i == 0 ? "" : ",", part_ids_[i], suspect.digest,
                            crashes.crashes(suspect));
    }
    return text;
}

} // namespace lovageledge
