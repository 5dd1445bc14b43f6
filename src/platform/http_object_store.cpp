#include "net/http_pool.hpp"

#include <parsleypitch/platform/http_object_store.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <memory>

namespace parsleypitch {

namespace detail {

constexpr unsigned status_ok = 200;

/// Calls the platform on pooled connections.
class platform_calls {
  public:
    platform_calls(const endpoint& platform, platform_client_options options)
        : m_call_timeout(options.call_timeout),
          m_pool(std::make_shared<net::http_pool>(
              platform, net::http_timeouts{options.connect_timeout, options.call_timeout},
              options.idle_connections)) {}

    /// @param server_wait how long the platform may wait before it answers
    [[nodiscard]] result<http::response> call(http::request message,
                                              milliseconds server_wait = milliseconds(0)) const {
        const auto client = m_pool->acquire();
        client->set_read_timeout(m_call_timeout + server_wait);
        return client->call(std::move(message));
    }

    [[nodiscard]] const std::string& address() const noexcept { return m_pool->target().str(); }

  private:
    milliseconds m_call_timeout;
    std::shared_ptr<net::http_pool> m_pool;
};

/// Percent-encodes all bytes except unreserved characters and slashes.
std::string percent_encode(const std::string& text) {
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
    return "/v1/objects/" + percent_encode(key.str());
}

http::header_field expected_version_field(object_version expected) {
    return {"X-Expected-Version", std::to_string(expected.value())};
}

http::request get_request(std::string path) {
    return {"GET", std::move(path), {}, ""};
}

/// Error of a call without a response. A write certainly had no effect only if the connection failed.
error transport_error(const error& why, bool is_write, const std::string& context) {
    const bool not_sent = http::nothing_was_sent(why);
    const errc code = !is_write || not_sent ? errc::platform_unreachable : errc::platform_answer_lost;
    return fail(code, context + ": " + why.detail);
}

/// Error of a call whose response status is not 200.
error status_error(unsigned status, bool is_write, const std::string& context) {
    const std::string detail = context + ": HTTP status " + std::to_string(status);
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
        // A write may have taken effect before any other server error.
        return fail(is_write && status >= 500 ? errc::platform_answer_lost : errc::platform_protocol, detail);
    }
}

result<http::response> check_response(result<http::response> response, bool is_write,
                                      const std::string& context) {
    if (!response) {
        return transport_error(response.error(), is_write, context);
    }
    if (response.value().head.status != status_ok) {
        return status_error(response.value().head.status, is_write, context);
    }
    return response;
}

/// Decodes the JSON body with `decode`. A malformed body is a protocol error; for a write it counts as a lost
/// response, because the write may have taken effect.
template <class T, class Decode>
result<T> parse_body(const result<http::response>& response, bool is_write, const std::string& context,
                     const Decode& decode) {
    if (!response) {
        return response.error();
    }
    try {
        return decode(nlohmann::json::parse(response.value().body));
    } catch (const nlohmann::json::exception& e) {
        return fail(is_write ? errc::platform_answer_lost : errc::platform_protocol,
                    context + ": " + e.what());
    }
}

std::vector<object_entry> parse_entries(const nlohmann::json& list) {
    std::vector<object_entry> entries;
    for (const auto& entry : list) {
        entries.push_back({object_key(entry.at("key").get<std::string>()),
                           object_version(entry.at("version").get<std::uint64_t>())});
    }
    return entries;
}

result<stored_object> get_object(const platform_calls& platform, const object_key& key) {
    const std::string context = "GET " + key.str() + " at " + platform.address();
    auto response = check_response(platform.call(get_request(object_path(key))), false, context);
    if (!response) {
        return response.error();
    }
    const std::string* stated = response.value().head.headers.find("x-object-version");
    const std::string version_text = stated == nullptr ? "" : *stated;
    std::uint64_t version = 0;
    const auto conversion =
        std::from_chars(version_text.data(), version_text.data() + version_text.size(), version);
    if (conversion.ec != std::errc() || conversion.ptr != version_text.data() + version_text.size()) {
        return fail(errc::platform_protocol, context + ": the X-Object-Version header is not a number");
    }
    return stored_object{key, object_version(version), std::move(response.value().body)};
}

result<object_version> put_object(const platform_calls& platform, const object_key& key,
                                  const std::string& bytes, object_version expected) {
    const std::string context = "PUT " + key.str() + " at " + platform.address();
    if (bytes.size() > static_cast<std::size_t>(max_object_size.value())) {
        return fail(errc::object_too_large, context + ": " + std::to_string(bytes.size()) +
                                                " bytes, at most " + std::to_string(max_object_size.value()) +
                                                " are allowed");
    }
    const auto response =
        platform.call({"PUT",
                       object_path(key),
                       {expected_version_field(expected), {"Content-Type", "application/octet-stream"}},
                       bytes});
    return parse_body<object_version>(
        check_response(response, true, context), true, context,
        [](const nlohmann::json& body) { return object_version(body.at("version").get<std::uint64_t>()); });
}

result<void> remove_object(const platform_calls& platform, const object_key& key, object_version expected) {
    const std::string context = "DELETE " + key.str() + " at " + platform.address();
    const auto response = platform.call({"DELETE", object_path(key), {expected_version_field(expected)}, ""});
    if (const auto removed = check_response(response, true, context); !removed) {
        return removed.error();
    }
    return success();
}

result<std::vector<object_entry>> list_objects(const platform_calls& platform, const object_key& prefix) {
    const std::string path = "/v1/list?prefix=" + percent_encode(prefix.str());
    const auto response = platform.call(get_request(path));
    return parse_body<std::vector<object_entry>>(
        check_response(response, false, path), false, path,
        [](const nlohmann::json& body) { return parse_entries(body.at("objects")); });
}

result<object_changes> watch_objects(const platform_calls& platform, const object_key& prefix,
                                     object_version after, milliseconds timeout) {
    const std::string path = "/v1/watch?prefix=" + percent_encode(prefix.str()) +
                             "&after=" + std::to_string(after.value()) +
                             "&timeout_ms=" + std::to_string(timeout.count());
    const auto response = platform.call(get_request(path), timeout);
    return parse_body<object_changes>(
        check_response(response, false, path), false, path, [](const nlohmann::json& body) {
            return object_changes{object_version(body.at("revision").get<std::uint64_t>()),
                                  parse_entries(body.at("changed"))};
        });
}

std::vector<host_entry> parse_hosts(const nlohmann::json& body) {
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
    const auto calls = std::make_shared<detail::platform_calls>(platform, options);
    object_store store;
    store.get = [calls](const object_key& key) { return detail::get_object(*calls, key); };
    store.put = [calls](const object_key& key, const std::string& bytes, object_version expected) {
        return detail::put_object(*calls, key, bytes, expected);
    };
    store.remove = [calls](const object_key& key, object_version expected) {
        return detail::remove_object(*calls, key, expected);
    };
    store.list = [calls](const object_key& prefix) { return detail::list_objects(*calls, prefix); };
    store.watch = [calls](const object_key& prefix, object_version after, milliseconds timeout) {
        return detail::watch_objects(*calls, prefix, after, timeout);
    };
    return store;
}

host_list_hook http_host_list(const endpoint& platform, platform_client_options options) {
    const auto calls = std::make_shared<detail::platform_calls>(platform, options);
    return [calls]() -> result<std::vector<host_entry>> {
        static const std::string path = "/v1/hosts";
        const auto response = calls->call(detail::get_request(path));
        return detail::parse_body<std::vector<host_entry>>(detail::check_response(response, false, path),
                                                           false, path, detail::parse_hosts);
    };
}

} // namespace parsleypitch
