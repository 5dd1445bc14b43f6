#include <parsleypitch/http/parser.hpp>

#include <boost/beast/http/basic_parser.hpp>

namespace parsleypitch::http {

namespace detail {

namespace beast = boost::beast;
using beast_string = beast::string_view;

/// Status codes that responses may have (RFC 9110, 15).
constexpr int lowest_status = 100;
constexpr int highest_status = 599;
constexpr int switching_protocols = 101;
constexpr int version_1_1 = 11;

std::string text_of(beast_string text) {
    return {text.data(), text.size()};
}

/// Stores the parts of a message that the Beast parser reports.
template <bool IsRequest>
class collecting_parser final : public beast::http::basic_parser<IsRequest> {
  public:
    std::string method;
    std::string target;
    response_head head;
    std::string body;
    std::uint64_t body_size = 0;
    /// Ten times the major version of HTTP plus the minor one; 0 until the start line has been read.
    int version = 0;

  private:
    void on_request_impl(beast::http::verb /*verb*/, beast_string method_text, beast_string target_text,
                         int /*version*/, beast::error_code& code) override {
        method = text_of(method_text);
        target = text_of(target_text);
        code = {};
    }
    void on_response_impl(int status, beast_string reason, int version_number,
                          beast::error_code& code) override {
        version = version_number;
        head.status = static_cast<unsigned>(status);
        head.reason = text_of(reason);
        // No request asks for another protocol, and the bytes after a switch would not be HTTP.
        const bool is_valid =
            status >= lowest_status && status <= highest_status && status != switching_protocols;
        code = is_valid ? beast::error_code() : beast::http::error::bad_status;
    }
    void on_field_impl(beast::http::field /*field*/, beast_string name, beast_string value,
                       beast::error_code& code) override {
        if (!m_header_done) { // trailers are dropped
            head.headers.add(text_of(name), text_of(value));
        }
        code = {};
    }
    void on_header_impl(beast::error_code& code) override {
        m_header_done = true;
        code = {};
    }
    void on_body_init_impl(const boost::optional<std::uint64_t>& /*length*/,
                           beast::error_code& code) override {
        code = {};
    }
    std::size_t on_body_impl(beast_string part, beast::error_code& code) override {
        return append(part, code);
    }
    void on_chunk_header_impl(std::uint64_t /*size*/, beast_string /*extensions*/,
                              beast::error_code& code) override {
        code = {};
    }
    std::size_t on_chunk_body_impl(std::uint64_t /*remaining*/, beast_string part,
                                   beast::error_code& code) override {
        return append(part, code);
    }
    void on_finish_impl(beast::error_code& code) override { code = {}; }

    std::size_t append(beast_string part, beast::error_code& code) {
        body.append(part.data(), part.size());
        body_size += part.size();
        code = {};
        return part.size();
    }

    bool m_header_done = false;
};

template <bool IsRequest>
void set_limits(collecting_parser<IsRequest>& parser, const message_limits& limits) {
    parser.header_limit(static_cast<std::uint32_t>(limits.header.value()));
    parser.body_limit(static_cast<std::uint64_t>(limits.body.value()));
    parser.eager(true);
}

template <bool IsRequest>
beast::error_code feed(collecting_parser<IsRequest>& parser, std::string_view input, std::size_t& consumed) {
    beast::error_code code;
    consumed = 0;
    while (consumed < input.size() && !parser.is_done()) {
        const std::size_t bytes =
            parser.put(boost::asio::buffer(input.data() + consumed, input.size() - consumed), code);
        consumed += bytes;
        if (code == beast::http::error::need_more) {
            code = {};
            if (bytes == 0) {
                break;
            }
        }
        if (code || bytes == 0) {
            break;
        }
    }
    return code;
}

/// Whether the bytes that the parser left are more than it needs to continue. Beast limits the header
/// section, but not the lines of chunk sizes, chunk extensions and trailers, for whose ends it waits.
template <bool IsRequest>
bool line_is_too_long(const collecting_parser<IsRequest>& parser, std::size_t left, byte_count limit) {
    return !parser.is_done() && left > static_cast<std::size_t>(limit.value());
}

/// Rejects framing that Beast accepts but another server could read differently: for some transfer codings
/// Beast reads no body.
bool framing_is_unambiguous(const header_list& headers) {
    const std::string* coding = headers.find("transfer-encoding");
    if (headers.count("transfer-encoding") > 1 ||
        (coding != nullptr && !equals_ignoring_case(*coding, "chunked"))) {
        return false;
    }
    return headers.count("content-length") <= 1 &&
           !(coding != nullptr && headers.count("content-length") == 1) && headers.count("host") == 1;
}

/// Whether a response has no body whatever its fields say (RFC 9112, 6.3).
bool has_no_body(unsigned status, bool is_head_request) {
    constexpr unsigned first_final_status = 200;
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    return is_head_request || status < first_final_status || status == no_content || status == not_modified;
}

/// Whether the transfer codings of a body can be removed: it has none, or only `chunked` in HTTP/1.1
/// (RFC 9112, 6.1). Beast delivers a body in any other coding as if it had none.
bool has_removable_coding(const collecting_parser<false>& parser) {
    const header_list& headers = parser.head.headers;
    if (headers.find("transfer-encoding") == nullptr) {
        return true;
    }
    const std::vector<std::string> codings = list_elements(headers, "transfer-encoding");
    return parser.version == version_1_1 && parser.chunked() && codings.size() == 1 &&
           equals_ignoring_case(codings.front(), "chunked");
}

/// The fault of a response that Beast does not accept.
response_fault fault_of(const beast::error_code& code, const collecting_parser<false>& parser) {
    if (code == beast::http::error::body_limit) {
        return response_fault::body_too_large;
    }
    if (parser.is_header_done()) {
        return response_fault::malformed_chunk;
    }
    if (code == beast::http::error::header_limit) {
        return response_fault::header_too_large;
    }
    const bool in_status_line = parser.version == 0;
    if (in_status_line || code == beast::http::error::bad_status) {
        return response_fault::malformed_status_line;
    }
    if (code == beast::http::error::bad_content_length || code == beast::http::error::bad_transfer_encoding) {
        return response_fault::invalid_framing;
    }
    return response_fault::malformed_field;
}

} // namespace detail

struct request_parser::state {
    explicit state(message_limits limits) : line_limit(limits.header) { detail::set_limits(parser, limits); }

    detail::collecting_parser<true> parser;
    byte_count line_limit;
    parse_error error = parse_error::malformed;
    bool framing_checked = false;
};

request_parser::request_parser(message_limits limits) : m_state(std::make_unique<state>(limits)) {
}
request_parser::~request_parser() = default;
request_parser::request_parser(request_parser&&) noexcept = default;
request_parser& request_parser::operator=(request_parser&&) noexcept = default;

result<std::size_t> request_parser::parse(std::string_view input) {
    std::size_t consumed = 0;
    const auto code = detail::feed(m_state->parser, input, consumed);
    if (code == detail::beast::http::error::header_limit) {
        m_state->error = parse_error::header_too_large;
        return fail(errc::malformed_request, "header section exceeds the size limit");
    }
    if (code == detail::beast::http::error::body_limit) {
        m_state->error = parse_error::body_too_large;
        return fail(errc::body_too_large, "request body exceeds the size limit");
    }
    if (code) {
        return fail(errc::malformed_request, code.message());
    }
    if (detail::line_is_too_long(m_state->parser, input.size() - consumed, m_state->line_limit)) {
        return fail(errc::malformed_request, "chunk size or trailer line exceeds the size limit");
    }
    if (m_state->parser.is_header_done() && !m_state->framing_checked) {
        m_state->framing_checked = true;
        if (!detail::framing_is_unambiguous(m_state->parser.head.headers)) {
            return fail(errc::malformed_request, "ambiguous Content-Length, Transfer-Encoding or Host");
        }
    }
    return consumed;
}

bool request_parser::head_complete() const noexcept {
    return m_state->parser.is_header_done();
}
bool request_parser::complete() const noexcept {
    return m_state->parser.is_done();
}
byte_count request_parser::body_size() const noexcept {
    return byte_count(static_cast<std::int64_t>(m_state->parser.body_size));
}

bool request_parser::expects_continue() const {
    const std::string* expectation = m_state->parser.head.headers.find("expect");
    return expectation != nullptr && equals_ignoring_case(*expectation, "100-continue");
}

parse_error request_parser::error() const noexcept {
    return m_state->error;
}

request request_parser::take() {
    auto& parser = m_state->parser;
    return {std::move(parser.method), std::move(parser.target), std::move(parser.head.headers),
            std::move(parser.body), parser.keep_alive()};
}

struct response_parser::state {
    state(message_limits limits, bool head_request)
        : line_limit(limits.header), is_head_request(head_request) {
        detail::set_limits(parser, limits);
        parser.skip(head_request);
    }

    /// Records why the response is refused.
    error refuse(response_fault why, std::string detail) {
        fault = why;
        return fail(errc::backend_broken, std::move(detail));
    }

    detail::collecting_parser<false> parser;
    byte_count line_limit;
    bool is_head_request;
    response_fault fault = response_fault::incomplete;
};

response_parser::response_parser(message_limits limits, bool is_head_request)
    : m_state(std::make_unique<state>(limits, is_head_request)) {
}
response_parser::~response_parser() = default;
response_parser::response_parser(response_parser&&) noexcept = default;
response_parser& response_parser::operator=(response_parser&&) noexcept = default;

result<std::size_t> response_parser::parse(std::string_view input) {
    std::size_t consumed = 0;
    const bool head_was_complete = m_state->parser.is_header_done();
    const auto code = detail::feed(m_state->parser, input, consumed);
    if (code) {
        return m_state->refuse(detail::fault_of(code, m_state->parser), code.message());
    }
    if (detail::line_is_too_long(m_state->parser, input.size() - consumed, m_state->line_limit)) {
        return m_state->refuse(response_fault::malformed_chunk,
                               "chunk size or trailer line exceeds the size limit");
    }
    if (!head_was_complete && m_state->parser.is_header_done()) {
        if (!detail::has_no_body(m_state->parser.head.status, m_state->is_head_request) &&
            !detail::has_removable_coding(m_state->parser)) {
            return m_state->refuse(response_fault::invalid_framing, "transfer coding other than chunked");
        }
        m_state->parser.head.keep_alive = m_state->parser.keep_alive();
        m_state->parser.head.ends_with_connection = m_state->parser.need_eof();
    }
    return consumed;
}

result<void> response_parser::parse_end() {
    detail::beast::error_code code;
    m_state->parser.put_eof(code);
    if (code || !m_state->parser.is_done()) {
        return m_state->refuse(response_fault::incomplete,
                               "connection closed before the end of the response");
    }
    return success();
}

response_fault response_parser::fault() const noexcept {
    return m_state->fault;
}

bool response_parser::head_complete() const noexcept {
    return m_state->parser.is_header_done();
}
bool response_parser::complete() const noexcept {
    return m_state->parser.is_done();
}
const response_head& response_parser::head() const noexcept {
    return m_state->parser.head;
}
std::string response_parser::take_body() {
    return std::exchange(m_state->parser.body, {});
}

} // namespace parsleypitch::http
