#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace parsleypitch {

/// @brief A text identifier; ids with different tags are distinct types without conversion.
template <class Tag>
class string_id {
  public:
    string_id() = default;
    explicit string_id(std::string value) : m_value(std::move(value)) {}

    /// @brief The text of the id, as used in documents and messages.
    [[nodiscard]] const std::string& str() const noexcept { return m_value; }
    [[nodiscard]] bool empty() const noexcept { return m_value.empty(); }

    friend auto operator<=>(const string_id&, const string_id&) = default;
    friend bool operator==(const string_id&, const string_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const string_id& id) { return out << id.m_value; }

  private:
    std::string m_value;
};

/// @brief A number that identifies or orders something; its only arithmetic is `next`.
template <class Tag>
class number_id {
  public:
    constexpr number_id() = default;
    constexpr explicit number_id(std::uint64_t value) : m_value(value) {}

    [[nodiscard]] constexpr std::uint64_t value() const noexcept { return m_value; }

    /// @brief The number that follows this one.
    [[nodiscard]] constexpr number_id next() const noexcept { return number_id(m_value + 1); }

    friend constexpr auto operator<=>(const number_id&, const number_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const number_id& id) { return out << id.m_value; }

  private:
    std::uint64_t m_value = 0;
};

/// @brief An amount in one unit; quantities with different tags are distinct types without conversion.
template <class Tag>
class quantity {
  public:
    constexpr quantity() = default;
    constexpr explicit quantity(std::int64_t value) : m_value(value) {}

    [[nodiscard]] constexpr std::int64_t value() const noexcept { return m_value; }

    constexpr quantity& operator+=(quantity other) noexcept {
        m_value += other.m_value;
        return *this;
    }
    constexpr quantity& operator-=(quantity other) noexcept {
        m_value -= other.m_value;
        return *this;
    }
    friend constexpr quantity operator+(quantity a, quantity b) noexcept {
        return quantity(a.m_value + b.m_value);
    }
    friend constexpr quantity operator-(quantity a, quantity b) noexcept {
        return quantity(a.m_value - b.m_value);
    }
    friend constexpr auto operator<=>(const quantity&, const quantity&) = default;
    friend std::ostream& operator<<(std::ostream& out, quantity q) { return out << q.m_value; }

  private:
    std::int64_t m_value = 0;
};

} // namespace parsleypitch

template <class Tag>
struct std::hash<parsleypitch::string_id<Tag>> {
    std::size_t operator()(const parsleypitch::string_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.str());
    }
};

template <class Tag>
struct std::hash<parsleypitch::number_id<Tag>> {
    std::size_t operator()(const parsleypitch::number_id<Tag>& id) const noexcept {
        return std::hash<std::uint64_t>{}(id.value());
    }
};
