#include "configuration/head_codec.hpp"

#include <parsleypitch/configuration/config_store.hpp>
#include <parsleypitch/platform/conditional_writer.hpp>

#include <algorithm>

namespace parsleypitch {

namespace detail {

/// Limit of version numbers to skip because interrupted acceptances wrote a document without updating the
/// head.
constexpr unsigned max_skipped_versions = 32;
constexpr std::size_t chunk_bytes = static_cast<std::size_t>(max_object_size.value());

/// Whether the same call may succeed if it is retried.
bool is_transient(const error& failure) {
    return failure.code == errc::platform_answer_lost || failure.code == errc::platform_rate_limited ||
           failure.code == errc::platform_unreachable;
}

/// Makes a call and retries it after transient failures, with at most `max_attempts` calls in all.
template <class Call>
auto call_with_retries(const store_wait_hook& wait, unsigned max_attempts, Call call) -> decltype(call()) {
    auto answer = call();
    for (unsigned attempt = 1; attempt < max_attempts && !answer && is_transient(answer.error()); ++attempt) {
        wait(attempt);
        answer = call();
    }
    return answer;
}

write_history write_ids_of(const std::vector<config_entry>& entries) {
    write_history ids;
    for (const config_entry& entry : entries) {
        ids.push_back(entry.writer);
    }
    return ids;
}

result<write_history> decode_write_ids(const std::string& bytes) {
    const auto entries = decode_head(bytes);
    if (!entries) {
        return entries.error();
    }
    return write_ids_of(entries.value());
}

std::size_t chunk_count(std::size_t size) {
    return std::max<std::size_t>(1, (size + chunk_bytes - 1) / chunk_bytes);
}

} // namespace detail

config_store::config_store(object_store store, environment_name name, write_id_hook next_id,
                           store_wait_hook wait, unsigned max_attempts)
    : m_store(std::move(store)), m_name(std::move(name)), m_next_id(std::move(next_id)),
      m_wait(std::move(wait)), m_max_attempts(max_attempts) {
}

object_key config_store::head_key() const {
    return object_key("config/" + m_name.str() + "/head");
}

object_key config_store::chunk_key(config_version version, std::size_t index) const {
    const std::string key = "config/" + m_name.str() + "/v/" + std::to_string(version.value());
    return object_key(index == 0 ? key : key + "/" + std::to_string(index));
}

result<config_head> config_store::read_head() const {
    const auto object =
        detail::call_with_retries(m_wait, m_max_attempts, [this] { return m_store.get(head_key()); });
    if (!object) {
        if (object.error().code == errc::object_not_found) {
            return config_head{};
        }
        return object.error();
    }
    auto entries = detail::decode_head(object.value().bytes);
    if (!entries) {
        return entries.error();
    }
    return config_head{object.value().version, std::move(entries.value())};
}

result<std::vector<config_entry>> config_store::history() const {
    auto head = read_head();
    if (!head) {
        return head.error();
    }
    return std::move(head.value().entries);
}

result<std::string> config_store::read_version(const config_entry& entry) const {
    std::string bytes;
    const std::size_t chunks = detail::chunk_count(static_cast<std::size_t>(entry.size.value()));
    for (std::size_t i = 0; i < chunks; ++i) {
        const object_key key = chunk_key(entry.version, i);
        auto object =
            detail::call_with_retries(m_wait, m_max_attempts, [this, &key] { return m_store.get(key); });
        if (!object) {
            return object.error();
        }
        bytes += object.value().bytes;
    }
    if (hash_of(bytes) != entry.hash) {
        return fail(errc::config_hash_mismatch, chunk_key(entry.version, 0).str() +
                                                    ": content does not match the accepted hash " +
                                                    entry.hash.str());
    }
    return bytes;
}

result<config_entry> config_store::accept(const std::string& bytes,
                                          std::optional<config_version> expected) const {
    return accept_from(bytes, expected, environment_name());
}

result<config_entry> config_store::promote(const config_store& source, const content_hash& hash,
                                           std::optional<config_version> expected) const {
    const auto accepted = source.history();
    if (!accepted) {
        return accepted.error();
    }
    const auto& entries = accepted.value();
    const auto found = std::find_if(entries.rbegin(), entries.rend(),
                                    [&hash](const config_entry& entry) { return entry.hash == hash; });
    if (found == entries.rend()) {
        return fail(errc::config_hash_mismatch,
                    source.name().str() + " accepted no document with hash " + hash.str());
    }
    const auto bytes = source.read_version(*found);
    if (!bytes) {
        return bytes.error();
    }
    return accept_from(bytes.value(), expected, source.name());
}

result<config_entry> config_store::accept_from(const std::string& bytes,
                                               std::optional<config_version> expected,
                                               const environment_name& source) const {
    if (auto valid = parse_accepted(bytes); !valid) {
        return valid.error();
    }
    const auto head = read_head();
    if (!head) {
        return head.error();
    }
    const config_version last = head.value().version();
    if (expected && *expected != last) {
        return fail(errc::config_raced, m_name.str() + ": expected version " +
                                            std::to_string(expected->value()) + ", found " +
                                            std::to_string(last.value()));
    }
    const auto version = create_version(last, bytes);
    if (!version) {
        return version.error();
    }
    const config_entry entry{version.value(), hash_of(bytes),
                             byte_count(static_cast<std::int64_t>(bytes.size())), m_next_id(), source};
    if (auto updated = update_head(head.value(), entry); !updated) {
        return updated.error();
    }
    return entry;
}

/// Never overwrites the document of a version, because a delayed operator may still write a head that lists
/// it. Version numbers under which another document is stored are skipped.
result<config_version> config_store::create_version(config_version last, const std::string& bytes) const {
    config_version version = last.next();
    for (unsigned skipped = 0; skipped < detail::max_skipped_versions; ++skipped, version = version.next()) {
        const auto created = create_chunks(version, bytes);
        if (!created) {
            return created.error();
        }
        if (created.value()) {
            return version;
        }
    }
    return fail(errc::config_raced, m_name.str() + ": the " + std::to_string(detail::max_skipped_versions) +
                                        " version numbers after " + std::to_string(last.value()) +
                                        " are used by other documents");
}

result<bool> config_store::create_chunks(config_version version, const std::string& bytes) const {
    for (std::size_t i = 0; i < detail::chunk_count(bytes.size()); ++i) {
        auto created =
            create_object(chunk_key(version, i), bytes.substr(i * detail::chunk_bytes, detail::chunk_bytes));
        if (!created || !created.value()) {
            return created;
        }
    }
    return true;
}

/// Stored documents are never changed, so that an existing object with equal bytes counts as written.
result<bool> config_store::create_object(const object_key& key, const std::string& bytes) const {
    const auto created = detail::call_with_retries(m_wait, m_max_attempts,
                                                   [&] { return m_store.put(key, bytes, object_version()); });
    if (created) {
        return true;
    }
    if (created.error().code != errc::version_conflict) {
        return created.error();
    }
    const auto present = detail::call_with_retries(m_wait, m_max_attempts, [&] { return m_store.get(key); });
    if (!present) {
        return present.error();
    }
    return present.value().bytes == bytes;
}

result<void> config_store::update_head(const config_head& base, const config_entry& entry) const {
    std::vector<config_entry> entries = base.entries;
    entries.push_back(entry);
    if (entries.size() > max_config_entries) {
        entries.erase(entries.begin(), entries.end() - max_config_entries);
    }
    const std::string bytes = detail::encode_head(entries);
    const conditional_writer writer(m_store, detail::decode_write_ids, m_wait, m_max_attempts);
    const auto written =
        writer.write({head_key(), base.object, detail::write_ids_of(base.entries), entry.writer, bytes});
    if (written) {
        return success();
    }
    if (written.error().code == errc::version_conflict) {
        return fail(errc::config_raced, m_name.str() + ": another version was accepted at the same time");
    }
    return written.error();
}

} // namespace parsleypitch
