#pragma once

/** \file
 * Defines conversions between Abseil's string_view and the standard one.
 *
 * Debian builds Abseil with its own string_view class, which does not convert from or to
 * std::string_view.
 */

#include <absl/strings/str_cat.h>
#include <absl/strings/string_view.h>

#include <string>
#include <string_view>
#include <type_traits>

namespace jujube::core {

inline absl::string_view toAbsl(std::string_view text)
{
    return {text.data(), text.size()};
}

inline std::string_view toStd(absl::string_view text)
{
    return {text.data(), text.size()};
}

namespace detail {

template <typename T> decltype(auto) concatArgument(const T &value)
{
    if constexpr (std::is_same_v<T, std::string_view>)
        return toAbsl(value);
    else
        return (value);
}

} // namespace detail

/** Concatenates strings and numbers like absl::StrCat, and also accepts std::string_view. */
template <typename... Args> std::string concat(const Args &...args)
{
    return absl::StrCat(detail::concatArgument(args)...);
}

/** Appends strings and numbers to a string. */
template <typename... Args> void append(std::string &target, const Args &...args)
{
    absl::StrAppend(&target, detail::concatArgument(args)...);
}

} // namespace jujube::core
