// Tables that map the values of an enum class to their names and back.
//
// Use one constexpr table for each enum that appears in messages, settings or metrics, so that both
// directions always agree.
#ifndef FESCUEDECK_BASE_NAME_TABLE_H
#define FESCUEDECK_BASE_NAME_TABLE_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace fescuedeck {

template <class Enum, std::size_t Size>
using name_table = std::array<std::pair<Enum, std::string_view>, Size>;

// Returns "unknown" for a value that the table lacks.
template <class Enum, std::size_t Size>
constexpr std::string_view nameOf(const name_table<Enum, Size> &table, Enum value)
{
    for (const auto &entry : table) {
        if (entry.first == value)
            return entry.second;
    }
    return "unknown";
}

template <class Enum, std::size_t Size>
constexpr std::optional<Enum> valueOf(const name_table<Enum, Size> &table, std::string_view name)
{
    for (const auto &entry : table) {
        if (entry.second == name)
            return entry.first;
    }
    return std::nullopt;
}

} // namespace fescuedeck

#endif
