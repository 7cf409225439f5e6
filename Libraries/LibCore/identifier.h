// Distinct string types for the names that modules exchange, so that a host
// name does not compile where a runner name is expected.

#ifndef LIBCORE_IDENTIFIER_H_
#define LIBCORE_IDENTIFIER_H_

#include <compare>
#include <string>
#include <string_view>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/message.h"

namespace wasabi::core {

// An immutable name; each `Tag` makes a distinct type.
template <typename Tag>
class Identifier {
 public:
  Identifier() = default;
  explicit Identifier(std::string value) : value_(std::move(value)) {}

  const std::string& value() const { return value_; }
  bool empty() const { return value_.empty(); }
  uint64_t Hash() const { return StableHash(value_); }

  auto operator<=>(const Identifier&) const = default;

  template <typename H>
  friend H AbslHashValue(H state, const Identifier& it) {
    return H::combine(std::move(state), it.value_);
  }

  MSGPACK_DEFINE(value_);

 private:
  std::string value_;
};

// A daemon of the fleet, for example "entry-1/router".
using HostId = Identifier<struct HostTag>;
// A data centre.
using DataCentreId = Identifier<struct DataCentreTag>;
// A model endpoint.
using RunnerId = Identifier<struct RunnerTag>;
// A set of interchangeable runners, or the endpoints of one plain service.
using PoolId = Identifier<struct PoolTag>;
// A deployment, which serves one business of the operators.
using DeploymentId = Identifier<struct DeploymentTag>;
// A caller organisation.
using OrganisationId = Identifier<struct OrganisationTag>;
// A chat, identified across its requests.
using ChatKey = Identifier<struct ChatTag>;
// A caller's request; unique within its organisation.
using RequestId = Identifier<struct RequestTag>;

}  // namespace wasabi::core

template <typename Tag>
struct std::hash<wasabi::core::Identifier<Tag>> {
  size_t operator()(const wasabi::core::Identifier<Tag>& it) const {
    return static_cast<size_t>(it.Hash());
  }
};

#endif  // LIBCORE_IDENTIFIER_H_
