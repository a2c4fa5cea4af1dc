#include "lovageledge/serving/success_registry.hpp"

#include <algorithm>

namespace lovageledge {
namespace {

constexpr auto half_life = std::chrono::seconds{10};
/** How long it is remembered that a suspect has succeeded at all. */
constexpr auto success_lifetime = std::chrono::minutes{5};
/** Beyond that, only suspects with many recent runs are remembered. */
constexpr std::size_t max_remembered = 8'192;
/** Numbers that other gateways have told are repeated while they matter. */
constexpr auto told_lifetime = std::chrono::seconds{10};

} // namespace

void success_registry::on_completed(const crash_suspect& suspect, time_point now) {
    own_map& runs = own(suspect.kind);
    own_runs& entry = runs[suspect.digest];
    ++entry.recent;
    entry.last_at = std::max(entry.last_at, now);
    bound(runs, now);
}

void success_registry::bound(own_map& runs, time_point now) const {
    if (runs.size() > max_remembered) {
        std::erase_if(runs, [](const auto& entry) { return entry.second.recent <= 1; });
    }
    if (runs.size() > max_remembered) {
        decline(runs, now);
    }
}

void success_registry::decline(own_map& runs, time_point now) {
    for (auto& [digest, entry] : runs) {
        entry.recent /= 2;
    }
    std::erase_if(runs, [&](const auto& entry) { return now - entry.second.last_at > success_lifetime; });
}

void success_registry::on_report(success_scope scope, const std::string& source,
                                 const suspect_success& success, time_point now) {
    own_map& runs = own(success.suspect.kind);
    own_runs& entry = runs[success.suspect.digest];
    entry.last_at = std::max(entry.last_at, success.last_at);
    bound(runs, now);
    told_by_others& told = told_[success.suspect];
    told_runs& number = scope == success_scope::gateway       ? told.gateways[source]
                        : scope == success_scope::data_centre ? told.data_centres[source]
                                                              : told.deployment;
    number = {success.recent_runs, now};
}

bool success_registry::age(time_point now) {
    if (now < next_aging_) {
        return false;
    }
    next_aging_ = now + half_life;
    decline(requests_, now);
    decline(parts_, now);
    return true;
}

void success_registry::forget_told(const std::function<bool(const crash_suspect&)>& is_suspected) {
    std::erase_if(told_, [&](const auto& entry) { return !is_suspected(entry.first); });
}

std::optional<time_point> success_registry::last_success(const crash_suspect& suspect) const {
    const own_map& runs = own(suspect.kind);
    const auto found = runs.find(suspect.digest);
    return found == runs.end() ? std::nullopt : std::optional{found->second.last_at};
}

std::uint32_t success_registry::sum(const std::map<std::string, told_runs>& told, time_point now) {
    std::uint32_t total = 0;
    for (const auto& [source, number] : told) {
        total += now - number.told_at < told_lifetime ? number.recent : 0;
    }
    return total;
}

std::uint32_t success_registry::recent_runs(const crash_suspect& suspect, success_scope scope,
                                            time_point now) const {
    const own_map& runs = own(suspect.kind);
    const auto found = runs.find(suspect.digest);
    std::uint32_t total = found == runs.end() ? 0 : found->second.recent;
    const auto told = told_.find(suspect);
    if (scope == success_scope::gateway || told == told_.end()) {
        return total;
    }
    total += sum(told->second.gateways, now);
    if (scope == success_scope::data_centre) {
        return total;
    }
    total += sum(told->second.data_centres, now);
    const told_runs& deployment = told->second.deployment;
    return now - deployment.told_at < told_lifetime ? std::max(total, deployment.recent) : total;
}

} // namespace lovageledge
