// Error propagation for functions that return absl::Status or absl::StatusOr.

#ifndef LIBCORE_TRY_H_
#define LIBCORE_TRY_H_

#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#define WASABI_CONCAT_INNER(a, b) a##b
#define WASABI_CONCAT(a, b) WASABI_CONCAT_INNER(a, b)

// Evaluates `expression` (an absl::Status) and returns it from the calling
// function if it is an error.
#define TRY(expression)                     \
  do {                                      \
    absl::Status try_status = (expression); \
    if (!try_status.ok()) {                 \
      return try_status;                    \
    }                                       \
  } while (false)

// Assigns the value of `expression` (an absl::StatusOr) to `target`, or returns
// its error from the calling function.
#define TRY_ASSIGN(target, expression) \
  TRY_ASSIGN_IMPL(WASABI_CONCAT(try_result_, __LINE__), target, expression)

#define TRY_ASSIGN_IMPL(result, target, expression) \
  auto result = (expression);                       \
  if (!result.ok()) {                               \
    return std::move(result).status();              \
  }                                                 \
  target = std::move(result).value()

#endif  // LIBCORE_TRY_H_
