// The queue of requests for one runner: strict priority between classes, and
// weighted start-time fair queueing between organisations within a class.

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

// A queued request.
struct WaitingItem {
  WorkItem item;
  // Outstanding work that the request adds to this runner, in tokens.
  double tokens = 0;
  // The request is refused if it has not started by this time.
  core::TimePoint latest_start;
  // The request is displaced to another runner if it has not started by this
  // time.
  core::TimePoint wait_deadline;
};

class FairQueue {
 public:
  // Adds a request. No request with the same id may be in the queue.
  void Push(WaitingItem waiting);

  // Returns the request that is served next, or nullptr if the queue is empty.
  // The pointer is valid until that request is removed.
  const WaitingItem* Front() const;

  // Removes and returns the request that is served next. The queue must not be
  // empty.
  WaitingItem Pop();

  // Charges the organisation for a request that starts without being queued.
  void Charge(const WorkItem& item, double tokens);

  // Removes and returns the request, or returns nullopt if it is not queued.
  std::optional<WaitingItem> Remove(const core::RequestId& request);

  // Returns the ids of the requests that match `predicate`, in service order.
  std::vector<core::RequestId> Select(
      const std::function<bool(const WaitingItem&)>& predicate) const;

  // Returns the number of queued requests with this or a more urgent priority.
  size_t CountAhead(Priority priority) const;

  size_t size() const { return locations_.size(); }
  bool empty() const { return locations_.empty(); }
  // Returns the outstanding work of all queued requests, in tokens.
  double tokens() const { return tokens_; }

 private:
  static constexpr size_t kClasses = 3;

  // Service order within a class: by virtual start time, then by arrival.
  struct Position {
    double start = 0;
    uint64_t sequence = 0;

    auto operator<=>(const Position&) const = default;
  };
  struct PriorityClass {
    std::map<Position, WaitingItem> waiting;
    // The virtual start time of the request that was served last.
    double virtual_time = 0;
    // The virtual finish time of each organisation's latest request. Entries
    // are removed once the virtual time reaches them.
    absl::flat_hash_map<core::OrganisationId, double> finish_times;
  };
  struct Location {
    size_t class_index = 0;
    Position position;
  };

  // Advances the virtual finish time of the item's organisation by the weighted
  // tokens, and returns the virtual start time of the item.
  static double Reserve(PriorityClass& priority_class,
                        const WorkItem& item,
                        double tokens);
  static void AdvanceVirtualTime(PriorityClass& priority_class, double start);
  WaitingItem Extract(const Location& location);

  std::array<PriorityClass, kClasses> classes_;
  absl::flat_hash_map<core::RequestId, Location> locations_;
  uint64_t next_sequence_ = 0;
  double tokens_ = 0;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_FAIR_QUEUE_H_
