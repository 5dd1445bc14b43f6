#include <parsleypitch/platform/http_object_store.hpp>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <charconv>
#include <memory>
#include <mutex>

namespace parsleypitch {

namespace detail {

/// Keeps idle keep-alive clients; each client serves one call at a time.
class http_client_pool {
  public:
    http_client_pool(endpoint platform, platform_client_options options)
        : m_platform(std::move(platform)), m_options(options) {}

    template <class Call>
    httplib::Result call(milliseconds extra_read_time, const Call& make_call) {
        std::unique_ptr<httplib::Client> client = take();
        client->set_read_timeout(m_options.call_timeout + extra_read_time);
        httplib::Result answer = make_call(*client);
        if (answer) {
            give_back(std::move(client));
        }
        return answer;
    }

    [[nodiscard]] const std::string& name() const noexcept { return m_platform.str(); }

  private:
    std::unique_ptr<httplib::Client> take() {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_idle.empty()) {
                auto client = std::move(m_idle.back());
                m_idle.pop_back();
                return client;
            }
        }
        auto client = std::make_unique<httplib::Client>("http://" + m_platform.str());
        client->set_keep_alive(true);
        client->set_tcp_nodelay(true);
        client->set_connection_timeout(m_options.connect_timeout);
        client->set_write_timeout(m_options.call_timeout);
        return client;
    }

    void give_back(std::unique_ptr<httplib::Client> client) {
        const std::lock_guard lock(m_mutex);
        if (m_idle.size() < m_options.idle_connections) {
            m_idle.push_back(std::move(client));
        }
    }

    endpoint m_platform;
    platform_client_options m_options;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<httplib::Client>> m_idle;
};

using shared_pool = std::shared_ptr<http_client_pool>;

/// Percent-encodes everything except unreserved characters and the slash.
std::string url_encoded(const std::string& text) {
    static constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if ((byte < 0x80 && std::isalnum(byte) != 0) ||
            std::string_view("-._~/").find(c) != std::string::npos) {
            encoded.push_back(c);
        } else {
            encoded.push_back('%');
            encoded.push_back(digits[byte >> 4U]);
            encoded.push_back(digits[byte & 15U]);
        }
    }
    return encoded;
}

std::string object_path(const object_key& key) {
    return "/v1/objects/" + url_encoded(key.str());
}

httplib::Headers expected_version(object_version expected) {
    return {{"X-Expected-Version", std::to_string(expected.value())}};
}

/// Classifies a call without an answer: only a failed connection proves that a write had no effect.
error no_answer(const httplib::Result& answer, bool is_write, const std::string& place) {
    const httplib::Error cause = answer.error();
    const bool never_sent = cause == httplib::Error::Connection || cause == httplib::Error::ConnectionTimeout;
    const errc code = !is_write || never_sent ? errc::platform_unreachable : errc::platform_answer_lost;
    return fail(code, place + ": " + httplib::to_string(cause));
}

error refused(int status, bool is_write, const std::string& place) {
    const std::string detail = place + ": status " + std::to_string(status);
    switch (status) {
    case 404:
        return fail(errc::object_not_found, detail);
    case 409:
        return fail(errc::version_conflict, detail);
    case 413:
        return fail(errc::object_too_large, detail);
    case 429:
        return fail(errc::platform_rate_limited, detail);
    case 503:
        return fail(errc::platform_unreachable, detail);
    default:
        // Any other server error may follow a write that took effect.
        return fail(is_write && status >= 500 ? errc::platform_answer_lost : errc::platform_protocol, detail);
    }
}

result<httplib::Response> checked(const httplib::Result& answer, bool is_write, const std::string& place) {
    if (!answer) {
        return no_answer(answer, is_write, place);
    }
    if (answer->status != 200) {
        return refused(answer->status, is_write, place);
    }
    return *answer;
}

/// Runs `read` over the JSON body; a body of another form is a protocol error, or a lost answer of a write.
template <class T, class Read>
result<T> parsed(const result<httplib::Response>& answer, bool is_write, const std::string& place,
                 const Read& read) {
    if (!answer) {
        return answer.error();
    }
    try {
        return read(nlohmann::json::parse(answer.value().body));
    } catch (const nlohmann::json::exception& e) {
        return fail(is_write ? errc::platform_answer_lost : errc::platform_protocol, place + ": " + e.what());
    }
}

std::vector<object_entry> entries_of(const nlohmann::json& list) {
    std::vector<object_entry> entries;
    for (const auto& entry : list) {
        entries.push_back({object_key(entry.at("key").get<std::string>()),
                           object_version(entry.at("version").get<std::uint64_t>())});
    }
    return entries;
}

result<stored_object> get_object(http_client_pool& pool, const object_key& key) {
    const std::string place = "GET " + key.str() + " at " + pool.name();
    auto answer = checked(
        pool.call(milliseconds(0), [&](httplib::Client& client) { return client.Get(object_path(key)); }),
        false, place);
    if (!answer) {
        return answer.error();
    }
    const std::string text = answer.value().get_header_value("X-Object-Version");
    std::uint64_t version = 0;
    const auto parsed_number = std::from_chars(text.data(), text.data() + text.size(), version);
    if (parsed_number.ec != std::errc() || parsed_number.ptr != text.data() + text.size()) {
        return fail(errc::platform_protocol, place + ": X-Object-Version is not a number");
    }
    return stored_object{key, object_version(version), std::move(answer.value().body)};
}

result<object_version> put_object(http_client_pool& pool, const object_key& key, const std::string& bytes,
                                  object_version expected) {
    const std::string place = "PUT " + key.str() + " at " + pool.name();
    if (bytes.size() > static_cast<std::size_t>(max_object_size.value())) {
        return fail(errc::object_too_large, place);
    }
    const auto answer = pool.call(milliseconds(0), [&](httplib::Client& client) {
        return client.Put(object_path(key), expected_version(expected), bytes, "application/octet-stream");
    });
    return parsed<object_version>(checked(answer, true, place), true, place, [](const nlohmann::json& body) {
        return object_version(body.at("version").get<std::uint64_t>());
    });
}

result<void> remove_object(http_client_pool& pool, const object_key& key, object_version expected) {
    const std::string place = "DELETE " + key.str() + " at " + pool.name();
    const auto answer = pool.call(milliseconds(0), [&](httplib::Client& client) {
        return client.Delete(object_path(key), expected_version(expected));
    });
    if (const auto removed = checked(answer, true, place); !removed) {
        return removed.error();
    }
    return success();
}

result<std::vector<object_entry>> list_objects(http_client_pool& pool, const object_key& prefix) {
    const std::string path = "/v1/list?prefix=" + url_encoded(prefix.str());
    const auto answer = pool.call(milliseconds(0), [&](httplib::Client& client) { return client.Get(path); });
    return parsed<std::vector<object_entry>>(
        checked(answer, false, path), false, path,
        [](const nlohmann::json& body) { return entries_of(body.at("objects")); });
}

result<object_changes> watch_objects(http_client_pool& pool, const object_key& prefix, object_version after,
                                     milliseconds timeout) {
    const std::string path = "/v1/watch?prefix=" + url_encoded(prefix.str()) +
                             "&after=" + std::to_string(after.value()) +
                             "&timeout_ms=" + std::to_string(timeout.count());
    const auto answer = pool.call(timeout, [&](httplib::Client& client) { return client.Get(path); });
    return parsed<object_changes>(checked(answer, false, path), false, path, [](const nlohmann::json& body) {
        return object_changes{object_version(body.at("revision").get<std::uint64_t>()),
                              entries_of(body.at("changed"))};
    });
}

std::vector<host_entry> hosts_of(const nlohmann::json& body) {
    std::vector<host_entry> hosts;
    for (const auto& entry : body.at("hosts")) {
        const bool leaving = entry.at("state").get<std::string>() != "live";
        hosts.push_back(
            {entry.at("host").get<std::string>(), leaving ? host_state::leaving : host_state::live});
    }
    return hosts;
}

} // namespace detail

object_store http_object_store(const endpoint& platform, platform_client_options options) {
    const auto pool = std::make_shared<detail::http_client_pool>(platform, options);
    object_store store;
    store.get = [pool](const object_key& key) { return detail::get_object(*pool, key); };
    store.put = [pool](const object_key& key, const std::string& bytes, object_version expected) {
        return detail::put_object(*pool, key, bytes, expected);
    };
    store.remove = [pool](const object_key& key, object_version expected) {
        return detail::remove_object(*pool, key, expected);
    };
    store.list = [pool](const object_key& prefix) { return detail::list_objects(*pool, prefix); };
    store.watch = [pool](const object_key& prefix, object_version after, milliseconds timeout) {
        return detail::watch_objects(*pool, prefix, after, timeout);
    };
    return store;
}

host_list_hook http_host_list(const endpoint& platform, platform_client_options options) {
    const auto pool = std::make_shared<detail::http_client_pool>(platform, options);
    return [pool]() -> result<std::vector<host_entry>> {
        static const std::string path = "/v1/hosts";
        const auto answer =
            pool->call(milliseconds(0), [](httplib::Client& client) { return client.Get(path); });
        return detail::parsed<std::vector<host_entry>>(detail::checked(answer, false, path), false, path,
                                                       detail::hosts_of);
    };
}

} // namespace parsleypitch
