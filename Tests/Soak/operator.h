// The operator of a soak: writes configurations that move a route, replace a
// key and add a route each.

#ifndef TESTS_SOAK_OPERATOR_H_
#define TESTS_SOAK_OPERATOR_H_

#include <cstdint>

#include "LibCore/event_loop.h"
#include "Tests/Soak/history.h"
#include "Tests/Support/PlatformStore/watched_log.h"

namespace wasabi::soak {

// Pools that the configurations name.
inline constexpr const char* kModelPool = "models";
inline constexpr const char* kPlainPool = "plain";
inline constexpr const char* kOtherPlainPool = "other";

class Operator {
 public:
  Operator(core::EventLoop* loop, support::WatchedLog* log, History* history)
      : loop_(loop), log_(log), history_(history) {}

  // Writes the next configuration; the store has acknowledged it on return.
  void Configure();

  int64_t version() const { return version_; }

 private:
  core::EventLoop* const loop_;
  support::WatchedLog* const log_;
  History* const history_;
  int64_t version_ = 0;
};

// The key that configuration `version` alone has.
std::string ReplacedKeyOf(int64_t version);

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_OPERATOR_H_
