// The requests that wait for a runner: strict priority classes, and within a
// class start-time fair queueing among organisations by weight.

#ifndef LIBROUTING_FAIR_QUEUE_H_
#define LIBROUTING_FAIR_QUEUE_H_

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "LibCore/time.h"
#include "LibRouting/work_item.h"
#include "absl/container/flat_hash_map.h"

namespace wasabi::routing {

// A request that waits.
struct WaitingItem {
  WorkItem item;
  // Outstanding work that it brings to this runner, in tokens.
  double tokens = 0;
  // It is refused when it has not started by then.
  core::TimePoint latest_start;
  // It is displaced when it has not started by then.
  core::TimePoint patience_end;
};

class FairQueue {
 public:
  // Adds a request; one with the same id must not be waiting.
  void Push(WaitingItem waiting);

  // The request that is served next, or nullptr.
  const WaitingItem* Front() const;

  // Removes and returns the request that is served next; the queue must not be
  // empty.
  WaitingItem Pop();

  // Charges a request that starts without waiting to its organisation.
  void Charge(const WorkItem& item, double tokens);

  // Removes and returns the request; nullopt when it is not waiting.
  std::optional<WaitingItem> Remove(const core::RequestId& request);

  // The requests for which `predicate` holds, in the order of service.
  std::vector<core::RequestId> Select(
      const std::function<bool(const WaitingItem&)>& predicate) const;

  // Requests of this priority or a more urgent one.
  size_t CountAhead(Priority priority) const;

  size_t size() const { return positions_.size(); }
  bool empty() const { return positions_.empty(); }
  // Outstanding work of all waiting requests.
  double tokens() const { return tokens_; }

 private:
  static constexpr size_t kClasses = 3;

  // Order of service within a class: virtual start time, then arrival.
  struct Position {
    double start = 0;
    uint64_t sequence = 0;

    auto operator<=>(const Position&) const = default;
  };
  struct PriorityClass {
    std::map<Position, WaitingItem> waiting;
    // Virtual time: the start time of the request served last.
    double virtual_time = 0;
    // Virtual finish time of each organisation's latest request, kept while it
    // lies ahead of the virtual time.
    absl::flat_hash_map<core::OrganisationId, double> finish_times;
  };
  struct Location {
    size_t class_index = 0;
    Position position;
  };

  static double Reserve(PriorityClass& priority_class,
                        const WorkItem& item,
                        double tokens);
  static void AdvanceVirtualTime(PriorityClass& priority_class, double start);
  WaitingItem Extract(const Location& location);

  std::array<PriorityClass, kClasses> classes_;
  absl::flat_hash_map<core::RequestId, Location> positions_;
  uint64_t next_sequence_ = 0;
  double tokens_ = 0;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_FAIR_QUEUE_H_
