#include <parsleypitch/accounts/account_table.hpp>
#include <parsleypitch/core/hash.hpp>
#include <parsleypitch/core/hooks.hpp>

#include <openssl/crypto.h>

#include <set>

namespace parsleypitch {

std::size_t account_table::secret_hash::operator()(std::string_view key) const noexcept {
    static const std::uint64_t secret = random_seed();
    return hash_bytes(key, secret);
}

bool account_table::constant_time_equal::operator()(std::string_view a, std::string_view b) const noexcept {
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

result<account_table> account_table::build(std::vector<account_keys> accounts) {
    account_table table;
    table.m_accounts.reserve(accounts.size());
    std::set<caller_id> names;
    for (account_keys& each : accounts) {
        const caller_id id = each.account.id;
        if (!names.insert(id).second) {
            return fail(errc::duplicate_entry, "two accounts have the name " + id.str());
        }
        const std::size_t index = table.m_accounts.size();
        table.m_accounts.push_back(std::move(each.account));
        for (std::string& key : each.keys) {
            const auto [known, added] = table.m_by_key.try_emplace(std::move(key), index);
            if (!added && known->second != index) {
                return fail(errc::duplicate_entry, "the accounts " +
                                                       table.m_accounts[known->second].id.str() + " and " +
                                                       id.str() + " have the same key");
            }
        }
    }
    return table;
}

const client_account* account_table::find(std::string_view key) const {
    const auto found = m_by_key.find(key);
    return found == m_by_key.end() ? nullptr : &m_accounts[found->second];
}

} // namespace parsleypitch
