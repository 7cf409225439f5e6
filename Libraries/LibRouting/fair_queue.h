// A queue of requests for one runner or one pool: strict priority between
// classes, and weighted start-time fair queueing between organisations within a
// class.

#ifndef LIBROUTING_FAIR_QUEUE_H_
#define LIBROUTING_FAIR_QUEUE_H_

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

  // Returns the request, or nullptr if it is not queued. The pointer is valid
  // until that request is removed.
  const WaitingItem* Find(const core::RequestId& request) const;

  // Removes and returns the request, or returns nullopt if it is not queued.
  std::optional<WaitingItem> Remove(const core::RequestId& request);

  // Returns the ids of the requests that match `predicate`, in service order.
  std::vector<core::RequestId> Select(
      const std::function<bool(const WaitingItem&)>& predicate) const;

  // Lets no request that arrives later overtake the queued one, except more
  // urgent ones.
  void Secure(const core::RequestId& request);

  // Records that the queued request starts now, before it is removed.
  void RecordStart(const core::RequestId& request);

  // Returns the number of queued requests that would be served before `item` if
  // it were queued now.
  size_t CountAhead(const WorkItem& item) const;
  // The same for a request that is queued already.
  size_t CountAhead(const core::RequestId& request) const;

  // Returns the number of queued requests with exactly this priority.
  size_t SizeOf(Priority priority) const;

  // Returns the number of queued requests with this or a more urgent priority.
  size_t CountAhead(Priority priority) const;

  size_t size() const { return locations_.size(); }
  bool empty() const { return locations_.empty(); }
  // Returns the outstanding work of all queued requests, in tokens.
  double tokens() const { return tokens_; }

 private:
  // Service order within a class: secured ones first, then by virtual start
  // time, then by arrival.
  struct Position {
    bool is_unsecured = true;
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
    Priority priority = Priority::kNormal;
    Position position;
  };

  // Advances the virtual finish time of the item's organisation by the weighted
  // tokens, and returns the virtual start time of the item.
  static double Reserve(PriorityClass& priority_class,
                        const WorkItem& item,
                        double tokens);
  // Returns the virtual start time that the item would have.
  static double StartOf(const PriorityClass& priority_class,
                        const WorkItem& item);
  static void AdvanceVirtualTime(PriorityClass& priority_class, double start);
  // Gives a request that has returned the place of the first new request of its
  // organisation, and moves the new ones back by one place each. Returns the
  // place; `last` is the place behind all of them.
  Position TakeFirstPlace(PriorityClass& priority_class,
                          const core::OrganisationId& organisation,
                          Position last);
  size_t CountBefore(Priority priority, const Position& position) const;
  WaitingItem Extract(const Location& location);

  std::map<Priority, PriorityClass> classes_;
  absl::flat_hash_map<core::RequestId, Location> locations_;
  uint64_t next_sequence_ = 0;
  double tokens_ = 0;
};

}  // namespace wasabi::routing

#endif  // LIBROUTING_FAIR_QUEUE_H_
