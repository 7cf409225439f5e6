// Simulates the operator of the fleet: each configuration that it writes moves
// a route, replaces a key and adds a route.

#ifndef TESTS_SOAK_OPERATOR_H_
#define TESTS_SOAK_OPERATOR_H_

#include <cstdint>

#include <optional>
#include <set>
#include <string>

#include "LibCore/event_loop.h"
#include "Tests/Soak/history.h"
#include "Tests/Support/PlatformStore/watched_log.h"

namespace wasabi::soak {

// The pools used in the configurations.
inline constexpr const char* kModelPool = "models";
inline constexpr const char* kPlainPool = "plain";
inline constexpr const char* kOtherPlainPool = "other";
inline constexpr const char* kLongPool = "long";

class Operator {
 public:
  // All pointers must outlive the operator.
  Operator(core::EventLoop* loop, support::WatchedLog* log, History* history)
      : loop_(loop), log_(log), history_(history) {}

  // Writes the next configuration. The store has acknowledged it when this
  // returns.
  void Configure();
  // Orders that no request is sent to a data centre, or ends that order.
  void Evacuate(const core::DataCentreId& data_centre);
  void EndEvacuation(const core::DataCentreId& data_centre);
  // Writes the newest configuration and the orders that stand again.
  void Rewrite();

  // Returns the version of the newest configuration, or 0 if there is none.
  int64_t version() const { return version_; }

 private:
  // Writes the record of an evacuation; without a value the key is deleted.
  void WriteEvacuation(const core::DataCentreId& data_centre,
                       std::optional<std::string> order);

  core::EventLoop* const loop_;
  support::WatchedLog* const log_;
  History* const history_;
  int64_t version_ = 0;
  std::string newest_;
  // The data centres that are evacuated.
  std::set<core::DataCentreId> evacuated_;
};

// Returns the API key that only configuration `version` contains.
std::string ReplacedKeyOf(int64_t version);

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_OPERATOR_H_
