// Result<T> is a Boost.Outcome result whose error is a result code with a
// readable message.
#pragma once

#include "base/ResultCode.h"

#include <boost/outcome/result.hpp>
#include <string>
#include <utility>

namespace magnoliamill::base {

/// An error with its result code. Message says what happened and, where useful,
/// what to do about it.
struct Error {
  ResultCode Code = ResultCode::Internal;
  std::string Message;
};

template <typename T>
using Result =
    boost::outcome_v2::basic_result<T, Error,
                                    boost::outcome_v2::policy::terminate>;

/// Builds a failed Result: `return fail(ResultCode::X, "...");`
inline auto fail(ResultCode code, std::string message) {
  return boost::outcome_v2::failure(Error{code, std::move(message)});
}

inline auto fail(Error error) {
  return boost::outcome_v2::failure(std::move(error));
}

inline auto ok() { return boost::outcome_v2::success(); }

} // namespace magnoliamill::base
