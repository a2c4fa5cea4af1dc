#pragma once

#include "lovageledge/base/key_digest.hpp"
#include "lovageledge/serving/usage_cap.hpp"

#include <string_view>
#include <vector>

namespace lovageledge {

/** A client account of the configuration with the digests of its keys. */
struct account_entry {
    client_account account;
    std::vector<key_digest> keys;
};

/**
    The client accounts of one configuration, found by their keys.

    Only digests of the keys are kept, so that neither a log line nor a memory dump shows a key. Immutable
    after construction; all methods may be called from any thread.
*/
class client_accounts {
public:
    client_accounts() = default;
    /** Precondition: no two entries have the same key or the same name. */
    explicit client_accounts(const std::vector<account_entry>& entries);

    /** @returns true if the deployment has no accounts, so that requests need no key */
    bool is_empty() const { return accounts_.empty(); }
    /** Finds the account of a key. The time that it takes depends neither on which key matches nor on where
        others differ. @returns nullptr if no account has the key */
    const client_account* find(std::string_view key) const;
    /** @returns all accounts in the order of the configuration */
    const std::vector<client_account>& all() const { return accounts_; }

private:
    struct key_entry {
        key_digest digest;
        /** Position of the account in accounts_. */
        std::size_t account = 0;
    };
    std::vector<client_account> accounts_;
    std::vector<key_entry> keys_;
};

} // namespace lovageledge
