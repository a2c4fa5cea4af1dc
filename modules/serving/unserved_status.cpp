#include "lovageledge/serving/unserved_status.hpp"

namespace lovageledge {

unserved_status choose_unserved_status(const unserved_request& request) {
    if (request.possible_runs == 0) {
        return unserved_status::unavailable;
    }
    return request.is_past_deadline ? unserved_status::gateway_timeout : unserved_status::bad_gateway;
}

} // namespace lovageledge
