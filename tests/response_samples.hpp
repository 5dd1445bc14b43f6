#pragma once

#include <parsleypitch/http/response_fault.hpp>

#include <ostream>
#include <string>
#include <utility>
#include <vector>

namespace parsleypitch {

/// What a stand-in does with its connection after the bytes of a sample.
enum class connection_end {
    kept_open,
    /// Closed for sending; what the client sends is no longer read.
    shut_down,
    closed,
    reset,
};

/// The bytes that a stand-in sends for one response.
struct response_sample {
    std::string name;
    std::string bytes;
    connection_end end = connection_end::kept_open;
    /// What a reader finds wrong with a broken response.
    http::response_fault fault = http::response_fault::incomplete;
};

inline std::ostream& operator<<(std::ostream& out, const response_sample& sample) {
    return out << sample.name;
}

/// Body of all sound samples that have one.
inline const std::string sample_body = "ok";

namespace detail {

/// Fields that readers of responses need besides the ones under test.
inline const std::string sample_fields = "Id: r1\r\nSeal: s\r\nX-Object-Version: 1\r\n";

inline std::string sample_head(const std::string& status_line, const std::string& fields) {
    return status_line + "\r\n" + sample_fields + fields + "\r\n";
}

inline response_sample with_status_line(std::string name, const std::string& status_line) {
    return {std::move(name), sample_head(status_line, "Content-Length: 2\r\n") + sample_body};
}

inline response_sample with_field(std::string name, const std::string& line) {
    return {std::move(name),
            sample_head("HTTP/1.1 200 OK", line + "\r\nContent-Length: 2\r\n") + sample_body};
}

/// A response whose body ends with the connection if its framing fields are ignored.
inline response_sample with_framing(std::string name, const std::string& fields, const std::string& body,
                                    const std::string& status_line = "HTTP/1.1 200 OK") {
    return {std::move(name), sample_head(status_line, fields) + body, connection_end::closed};
}

inline response_sample with_chunks(std::string name, const std::string& chunks) {
    return with_framing(std::move(name), "Transfer-Encoding: chunked\r\n", chunks);
}

inline std::vector<response_sample> with_fault(http::response_fault fault,
                                               std::vector<response_sample> samples) {
    for (response_sample& sample : samples) {
        sample.fault = fault;
    }
    return samples;
}

inline std::vector<response_sample> with_end(connection_end end, std::vector<response_sample> samples) {
    for (response_sample& sample : samples) {
        sample.end = end;
    }
    return samples;
}

inline void append(std::vector<response_sample>& to, std::vector<response_sample> samples) {
    to.insert(to.end(), samples.begin(), samples.end());
}

} // namespace detail

/// Responses whose start line is invalid (RFC 9112, 4; RFC 9110, 15).
inline std::vector<response_sample> broken_status_lines() {
    using detail::with_status_line;
    return {
        with_status_line("status_000", "HTTP/1.1 000 OK"),
        with_status_line("status_099", "HTTP/1.1 099 OK"),
        with_status_line("status_600", "HTTP/1.1 600 OK"),
        with_status_line("status_999", "HTTP/1.1 999 OK"),
        with_status_line("status_of_two_digits", "HTTP/1.1 20 OK"),
        with_status_line("status_of_four_digits", "HTTP/1.1 2000 OK"),
        with_status_line("status_is_no_number", "HTTP/1.1 2x0 OK"),
        with_status_line("status_is_negative", "HTTP/1.1 -20 OK"),
        with_status_line("status_missing", "HTTP/1.1"),
        with_status_line("two_blanks_before_the_status", "HTTP/1.1  200 OK"),
        with_status_line("tab_before_the_status", "HTTP/1.1\t200 OK"),
        with_status_line("version_0_9", "HTTP/0.9 200 OK"),
        with_status_line("version_1_2", "HTTP/1.2 200 OK"),
        with_status_line("version_2_0", "HTTP/2.0 200 OK"),
        with_status_line("version_in_lower_case", "http/1.1 200 OK"),
        with_status_line("version_of_another_protocol", "ICY 200 OK"),
        with_status_line("blank_before_the_version", " HTTP/1.1 200 OK"),
        with_status_line("empty_line_before_the_version", "\r\nHTTP/1.1 200 OK"),
        with_status_line("control_byte_in_the_reason", "HTTP/1.1 200 O\x01K"),
        with_status_line("nul_in_the_reason", std::string("HTTP/1.1 200 O\0K", 16)),
        with_status_line("carriage_return_in_the_reason", "HTTP/1.1 200 O\rK"),
        with_status_line("delete_in_the_reason", "HTTP/1.1 200 O\x7fK"),
        {"lines_end_without_carriage_return",
         "HTTP/1.1 200 OK\nId: r1\nSeal: s\nContent-Length: 2\n\n" + sample_body, connection_end::closed},
        {"switching_protocols",
         detail::sample_head("HTTP/1.1 101 Switching Protocols", "Upgrade: echo\r\nConnection: upgrade\r\n") +
             sample_body},
    };
}

/// Responses with an invalid field line (RFC 9110, 5; RFC 9112, 5).
inline std::vector<response_sample> broken_field_lines() {
    using detail::with_field;
    return {
        with_field("blank_in_a_name", "X Name: 1"),
        with_field("blank_in_the_name_of_the_length", "Content Length: 9"),
        with_field("blank_after_a_name", "X-Name : 1"),
        {"blank_before_the_first_name", "HTTP/1.1 200 OK\r\n X-Name: 1\r\n" + detail::sample_fields +
                                            "Content-Length: 2\r\n\r\n" + sample_body},
        with_field("tab_in_a_name", "X\tName: 1"),
        with_field("control_byte_in_a_name", "X\x01Name: 1"),
        with_field("nul_in_a_name", std::string("X\0Name: 1", 9)),
        with_field("carriage_return_in_a_name", "X\rName: 1"),
        with_field("line_feed_in_a_name", "X\nName: 1"),
        with_field("delete_in_a_name", "X\x7fName: 1"),
        with_field("byte_above_ascii_in_a_name", "X\xe9Name: 1"),
        with_field("quote_in_a_name", "X\"Name: 1"),
        with_field("empty_name", ": 1"),
        with_field("line_without_colon", "X-Name"),
        with_field("nul_in_a_value", std::string("X-Name: a\0b", 11)),
        with_field("control_byte_in_a_value", "X-Name: a\x01"
                                              "b"),
        with_field("carriage_return_in_a_value", "X-Name: a\rb"),
        with_field("line_feed_in_a_value", "X-Name: a\nX-Other: b"),
        with_field("delete_in_a_value", "X-Name: a\x7f"
                                        "b"),
    };
}

/// Responses whose framing is invalid or that name a coding that cannot be removed (RFC 9112, 6).
inline std::vector<response_sample> broken_framing() {
    using detail::with_framing;
    const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
    return {
        with_framing("length_is_negative", "Content-Length: -2\r\n", "ok"),
        with_framing("length_with_a_sign", "Content-Length: +2\r\n", "ok"),
        with_framing("length_in_hexadecimal", "Content-Length: 0x2\r\n", "ok"),
        with_framing("length_is_empty", "Content-Length: \r\n", "ok"),
        with_framing("length_with_a_blank", "Content-Length: 0 2\r\n", "ok"),
        with_framing("length_with_a_unit", "Content-Length: 2b\r\n", "ok"),
        with_framing("length_too_large_for_its_type", "Content-Length: 18446744073709551618\r\n", "ok"),
        with_framing("length_list_that_disagrees", "Content-Length: 2, 3\r\n", "ok"),
        with_framing("length_list_with_a_gap", "Content-Length: 2,\r\n", "ok"),
        with_framing("lengths_that_disagree", "Content-Length: 2\r\nContent-Length: 3\r\n", "ok"),
        with_framing("length_before_chunks", "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", chunks),
        with_framing("length_after_chunks", "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", chunks),
        with_framing("coding_gzip", "Transfer-Encoding: gzip\r\n", "ok"),
        with_framing("coding_gzip_before_a_length", "Transfer-Encoding: gzip\r\nContent-Length: 2\r\n", "ok"),
        with_framing("coding_gzip_and_chunked", "Transfer-Encoding: gzip, chunked\r\n", chunks),
        with_framing("coding_gzip_and_chunked_in_two_fields",
                     "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", chunks),
        with_framing("coding_chunked_before_gzip", "Transfer-Encoding: chunked, gzip\r\n", chunks),
        with_framing("coding_chunked_twice", "Transfer-Encoding: chunked, chunked\r\n", chunks),
        with_framing("coding_chunked_in_two_fields",
                     "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", chunks),
        with_framing("coding_identity", "Transfer-Encoding: identity\r\n", "ok"),
        with_framing("coding_of_unknown_name", "Transfer-Encoding: xchunked\r\n", chunks),
        with_framing("coding_chunked_with_a_parameter", "Transfer-Encoding: chunked;q=1\r\n", chunks),
        with_framing("coding_in_quotes", "Transfer-Encoding: \"chunked\"\r\n", chunks),
        with_framing("coding_is_empty", "Transfer-Encoding: \r\n", "ok"),
        with_framing("coding_is_no_list", "Transfer-Encoding: chunked gzip\r\n", chunks),
        with_framing("chunks_in_version_1_0", "Transfer-Encoding: chunked\r\n", chunks, "HTTP/1.0 200 OK"),
    };
}

/// Responses with a broken chunk (RFC 9112, 7.1).
inline std::vector<response_sample> broken_chunks() {
    using detail::with_chunks;
    return {
        with_chunks("chunk_size_is_no_number", "zz\r\nok\r\n0\r\n\r\n"),
        with_chunks("chunk_size_is_negative", "-2\r\nok\r\n0\r\n\r\n"),
        with_chunks("chunk_size_is_empty", "\r\nok\r\n0\r\n\r\n"),
        with_chunks("chunk_size_with_a_prefix", "0x2\r\nok\r\n0\r\n\r\n"),
        with_chunks("chunk_size_with_a_blank_before", " 2\r\nok\r\n0\r\n\r\n"),
        with_chunks("chunk_size_too_large_for_its_type", "10000000000000002\r\nok\r\n0\r\n\r\n"),
        with_chunks("chunk_size_ends_without_carriage_return", "2\nok\r\n0\r\n\r\n"),
        with_chunks("chunk_extension_with_a_control_byte", "2;a=\x01\r\nok\r\n0\r\n\r\n"),
        with_chunks("chunk_extension_without_a_name", "2;=1\r\nok\r\n0\r\n\r\n"),
        with_chunks("chunk_longer_than_its_size", "2\r\nokay\r\n0\r\n\r\n"),
        with_chunks("chunk_shorter_than_its_size", "4\r\nok\r\n0\r\n\r\n"),
        with_chunks("trailer_with_a_blank_in_its_name", "2\r\nok\r\n0\r\nX Name: 1\r\n\r\n"),
        with_chunks("trailer_with_a_control_byte_in_its_value", "2\r\nok\r\n0\r\nX-Name: \x01\r\n\r\n"),
    };
}

/// Responses whose connection is closed before they are complete (RFC 9112, 8).
inline std::vector<response_sample> truncated_responses() {
    const std::string status_line = "HTTP/1.1 200 OK";
    const std::string chunked = detail::sample_head(status_line, "Transfer-Encoding: chunked\r\n");
    std::vector<response_sample> samples = {
        {"nothing", ""},
        {"head_cut", status_line + "\r\n" + detail::sample_fields},
        {"only_an_interim_response", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"body_shorter_than_its_length",
         detail::sample_head(status_line, "Content-Length: 9\r\n") + sample_body},
        {"chunk_cut", chunked + "4\r\nok"},
        {"chunks_without_the_last_one", chunked + "2\r\nok\r\n"},
        {"chunks_cut_in_the_trailer_section", chunked + "2\r\nok\r\n0\r\nX-Name: 1\r\n"},
        {"chunks_without_the_final_line_end", chunked + "2\r\nok\r\n0\r\n"},
    };
    return detail::with_end(connection_end::closed, std::move(samples));
}

/// Responses whose connection is reset before they are complete.
inline std::vector<response_sample> reset_responses() {
    using detail::sample_head;
    const std::string status_line = "HTTP/1.1 200 OK";
    std::vector<response_sample> samples = {
        {"nothing_before_a_reset", ""},
        {"body_with_a_length_cut_by_a_reset",
         sample_head(status_line, "Content-Length: 9\r\n") + sample_body},
        {"body_without_a_length_cut_by_a_reset", sample_head(status_line, "") + sample_body},
        {"chunks_cut_by_a_reset", sample_head(status_line, "Transfer-Encoding: chunked\r\n") + "2\r\nok\r\n"},
    };
    return detail::with_end(connection_end::reset, std::move(samples));
}

/// All responses that must not reach a caller.
inline std::vector<response_sample> broken_responses() {
    using detail::with_fault;
    using http::response_fault;
    std::vector<response_sample> all;
    detail::append(all, with_fault(response_fault::malformed_status_line, broken_status_lines()));
    detail::append(all, with_fault(response_fault::malformed_field, broken_field_lines()));
    detail::append(all, with_fault(response_fault::invalid_framing, broken_framing()));
    detail::append(all, with_fault(response_fault::malformed_chunk, broken_chunks()));
    detail::append(all, with_fault(response_fault::incomplete, truncated_responses()));
    detail::append(all, with_fault(response_fault::connection_lost, reset_responses()));
    return all;
}

/// Unusual responses that are valid and have the body `sample_body`.
inline std::vector<response_sample> sound_responses() {
    using detail::with_chunks;
    using detail::with_field;
    using detail::with_framing;
    using detail::with_status_line;
    const std::string chunks = "2\r\nok\r\n0\r\n\r\n";
    return {
        with_status_line("length", "HTTP/1.1 200 OK"),
        with_status_line("reason_is_empty", "HTTP/1.1 200 "),
        with_status_line("reason_with_a_tab_and_bytes_above_ascii", "HTTP/1.1 200 tr\xc3\xa8s\tbien"),
        with_status_line("version_1_0", "HTTP/1.0 200 OK"),
        with_field("name_of_all_token_bytes", "!#$%&'*+-.^_`|~09azAZ: 1"),
        with_field("value_is_empty", "X-Name:"),
        with_field("value_with_tabs_and_bytes_above_ascii", "X-Name:\ta\t\xe9 \t"),
        with_field("value_on_two_lines", "X-Name: a\r\n b"),
        with_framing("length_twice", "Content-Length: 2\r\nContent-Length: 2\r\n", "ok"),
        with_framing("length_list_that_agrees", "Content-Length: 2, 2\r\n", "ok"),
        with_framing("length_with_leading_zeros", "Content-Length: 002\r\n", "ok"),
        with_framing("without_length", "", "ok"),
        with_framing("without_length_in_version_1_0", "", "ok", "HTTP/1.0 200 OK"),
        with_framing("coding_in_mixed_case", "Transfer-Encoding: Chunked\r\n", chunks),
        with_framing("coding_in_a_list_with_gaps", "Transfer-Encoding: , chunked ,\r\n", chunks),
        with_chunks("one_chunk", chunks),
        with_chunks("two_chunks", "1\r\no\r\n1\r\nk\r\n0\r\n\r\n"),
        with_chunks("chunk_size_with_leading_zeros", "0002\r\nok\r\n000\r\n\r\n"),
        with_chunks("chunk_extensions", "2;a;b=c;d=\"e f\"\r\nok\r\n0;g\r\n\r\n"),
        with_chunks("trailers", "2\r\nok\r\n0\r\nX-Name: 1\r\nX-Other: 2\r\n\r\n"),
        {"after_interim_responses",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" +
             with_status_line("", "HTTP/1.1 200 OK").bytes},
    };
}

} // namespace parsleypitch
