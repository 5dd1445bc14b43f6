#include <parsleypitch/streams/assembler.hpp>

namespace parsleypitch {

result<void> stream_assembler::check_origin(const execute_event& event) const {
    if (event.id != m_id || event.attempt != m_attempt) {
        return fail(errc::stream_foreign, "expected request " + m_id.str() + " attempt " +
                                              std::to_string(m_attempt.value()) + ", got " + event.id.str() +
                                              " attempt " + std::to_string(event.attempt.value()));
    }
    return success();
}

result<token_action> stream_assembler::accept(const token_event& token) {
    if (token.index < m_next) {
        return token_action::drop_duplicate;
    }
    if (token.index > m_next) {
        return fail(errc::stream_gap, "request " + m_id.str() + ": expected token " +
                                          std::to_string(m_next.value()) + ", got " +
                                          std::to_string(token.index.value()));
    }
    m_next = m_next.next();
    m_text += token.text;
    return token_action::deliver;
}

result<void> stream_assembler::check_end(const generation_end& end) const {
    if (static_cast<std::uint64_t>(end.tokens.value()) != m_next.value()) {
        return fail(errc::stream_gap, "request " + m_id.str() + ": expected " +
                                          std::to_string(end.tokens.value()) + " tokens, got " +
                                          std::to_string(m_next.value()));
    }
    return success();
}

} // namespace parsleypitch
