#include "lovageledge/serving/client_accounts.hpp"

namespace lovageledge {

client_accounts::client_accounts(const std::vector<account_entry>& entries) {
    for (const account_entry& entry : entries) {
        for (const key_digest& key : entry.keys) {
            keys_.push_back({key, accounts_.size()});
        }
        accounts_.push_back(entry.account);
    }
}

const client_account* client_accounts::find(std::string_view key) const {
    const key_digest digest{key};
    std::size_t found = accounts_.size();
    // All keys are compared, also after a match.
    for (const key_entry& entry : keys_) {
        found = entry.digest.is_same_key(digest) ? entry.account : found;
    }
    return found < accounts_.size() ? &accounts_[found] : nullptr;
}

} // namespace lovageledge
