#include "lovageledge/serving/unserved_status.hpp"

#include <algorithm>
#include <array>

namespace lovageledge {

unserved_status choose_unserved_status(const unserved_request& request) {
    if (request.possible_runs == 0) {
        return unserved_status::unavailable;
    }
    return request.is_past_deadline ? unserved_status::gateway_timeout : unserved_status::bad_gateway;
}

bool guarantees_not_run(unsigned status) {
    constexpr std::array<unsigned, 4> guarantees{408, 421, 429, 503};
    return std::find(guarantees.begin(), guarantees.end(), status) != guarantees.end();
}

} // namespace lovageledge
