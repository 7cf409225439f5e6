// Reconciles endpoints with their wanted states. Performs no I/O: it receives
// the time, the results of reads and the pool ownership, and returns the next
// reads, claims and orders.
//
// Rendezvous hashing selects the control daemon that sends the orders of a
// pool. That daemon becomes the holder by appending a claim to the log. It
// sends an order only if it has read the claims to their end within
// OrderOptions::claim_freshness, so that after a pause it notices that another
// daemon took over. If it sends a stale order nevertheless, endpoints that
// check the fencing number reject the order. For endpoints that don't check it,
// the next holder reads their state back and corrects it.

#ifndef LIBINTENT_ORDER_CONTROLLER_H_
#define LIBINTENT_ORDER_CONTROLLER_H_

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "LibCore/time.h"
#include "LibIntent/configuration.h"
#include "LibIntent/order_claims.h"
#include "LibIntent/pool_members.h"
#include "LibPlatform/log_client.h"
#include "absl/status/statusor.h"

namespace wasabi::intent {

struct OrderOptions {
  // Maximum share of a pool's endpoints that load concurrently, from 0 to 1. At
  // least one endpoint may always load.
  double loading_share = 0.34;
  // Maximum number of endpoints that load concurrently over all pools of one
  // holder. They share the bandwidth of the weight store.
  int max_loads = 4;
  // Maximum age of the last read of the claims when an order is sent.
  core::Duration claim_freshness = std::chrono::seconds(1);
  // How long a new holder waits before it reads states and sends orders. By
  // then, the orders that its predecessor sent within claim_freshness have
  // arrived, provided that an order takes at most the difference between the
  // two.
  core::Duration take_over_wait = std::chrono::seconds(3);
  // Minimum interval between two claims of one pool.
  core::Duration claim_interval = std::chrono::seconds(2);
  // If the process was paused for longer than `pause_threshold`, it appends no
  // claims for `settle_time`, so that the member table can catch up first.
  core::Duration pause_threshold = std::chrono::seconds(3);
  core::Duration settle_time = std::chrono::seconds(3);
  // Poll interval of an endpoint whose state is known and that is not loading.
  core::Duration read_back_period = std::chrono::seconds(5);
  // Poll interval of an endpoint that is loading or whose state is unknown.
  core::Duration loading_poll_period = std::chrono::milliseconds(500);
  // If loading takes longer, the order is sent again, queued behind the others.
  core::Duration load_timeout = std::chrono::minutes(10);
  // Delay before a failed order is retried.
  core::Duration retry_pause = std::chrono::seconds(1);
};

// Requests a read of the claims stream from `from`, without long polling.
struct ReadClaims {
  platform::Offset from = 0;

  auto operator<=>(const ReadClaims&) const = default;
};

// Requests that a claim is appended to the claims stream.
struct AppendClaim {
  OrderClaim claim;

  auto operator<=>(const AppendClaim&) const = default;
};

// Requests a read of the state of an endpoint.
struct ReadEndpointState {
  std::string endpoint;

  auto operator<=>(const ReadEndpointState&) const = default;
};

// Requests that an order is sent to an endpoint.
struct SendOrder {
  std::string endpoint;
  WantedState state;
  platform::Offset fencing_number = -1;
  // True if the endpoint reached this state earlier and no longer has it.
  bool is_correction = false;

  auto operator<=>(const SendOrder&) const = default;
};

using OrderAction =
    std::variant<ReadClaims, AppendClaim, ReadEndpointState, SendOrder>;

// The state that an endpoint reports.
struct EndpointState {
  WantedState state;
  // False while the endpoint is loading the state.
  bool is_applied = true;

  auto operator<=>(const EndpointState&) const = default;
};

class OrderController {
 public:
  // `holder` identifies this incarnation of the daemon in claims.
  OrderController(std::string holder, OrderOptions options);

  void SetConfiguration(ConfigurationView configuration);
  // Sets the live endpoints of each pool.
  void SetPools(PoolMembers pools);
  // Sets the pools that rendezvous hashing assigns to this daemon.
  void SetOwnedPools(std::set<core::PoolId> pools);

  // Handles the response to a ReadClaims action that was issued at `asked_at`.
  void OnClaims(core::TimePoint asked_at,
                const absl::StatusOr<platform::LogPage>& page);
  // Handles the truncation of the claims before `first_retained`.
  void OnClaimsTruncated(platform::Offset first_retained);
  // Handles the response to an AppendClaim action. The claim takes effect only
  // when its record is read.
  void OnClaimAppended(const core::PoolId& pool);
  // Handles the response to a ReadEndpointState action.
  void OnEndpointState(core::TimePoint now,
                       const std::string& endpoint,
                       const absl::StatusOr<EndpointState>& state);
  // Handles the response to a SendOrder action.
  void OnOrderAnswered(core::TimePoint now,
                       const std::string& endpoint,
                       const absl::Status& status);

  // Returns the actions to perform now. The caller must report the result of
  // each action with one of the methods above; until then, Tick does not return
  // the action again.
  std::vector<OrderAction> Tick(core::TimePoint now);

  // Returns true if this daemon is the holder of `pool`, according to the
  // claims read so far.
  bool IsHolder(const core::PoolId& pool) const;
  // Returns the number of endpoints that are not in their wanted state, over
  // the pools that this daemon holds.
  size_t CountPending() const;

 private:
  struct Endpoint {
    // The last state read; nullopt if it is unknown.
    std::optional<EndpointState> observed;
    core::TimePoint observed_at;
    // Earliest time of the next order, after a failed one.
    core::TimePoint retry_at;
    // When the endpoint began to wait for an order. Orders are sent to the
    // longest-waiting endpoint first.
    std::optional<core::TimePoint> waiting_since;
    // When the order whose load is in progress was accepted.
    std::optional<core::TimePoint> ordered_at;
    // The last wanted state that the endpoint was observed to reach.
    std::optional<WantedState> reached;
    bool is_reading = false;
    bool is_ordering = false;
    // True until a read of the state completes, initially and again after a
    // change of claim or a failed order.
    bool needs_read = true;
  };

  struct Pool {
    platform::Offset fencing_number = -1;
    // True while an AppendClaim action is in flight.
    bool is_claiming = false;
    // True after an endpoint refused an order, until another claim is read.
    bool needs_new_claim = false;
    std::optional<core::TimePoint> claimed_at;
    // End of the waiting time after a change of claim.
    core::TimePoint orders_allowed_at;
  };

  // An endpoint that needs an order. The order of the members makes the
  // longest-waiting endpoint sort first.
  struct Candidate {
    core::TimePoint waiting_since;
    std::string endpoint;
    core::PoolId pool;

    auto operator<=>(const Candidate&) const = default;
  };

  // Returns the wanted state of `endpoint`, or nullptr.
  const WantedState* FindWantedState(const std::string& endpoint) const;
  // Returns the endpoints of `pool` if this daemon may send orders to the pool
  // now, otherwise an empty set.
  const std::set<std::string>& MembersReadyForOrders(
      core::TimePoint now,
      const core::PoolId& pool) const;
  // Returns true if the state of a member with a wanted state must still be
  // read.
  bool HasUnreadEndpoint(const std::set<std::string>& members) const;
  // Returns true if an endpoint of `pool` has a wanted state.
  bool HasWantedState(const core::PoolId& pool) const;
  // Returns true if an order is in flight or the endpoint is loading.
  bool IsLoading(const std::string& endpoint) const;
  // Returns true if the endpoint is expected to accept requests: it is neither
  // drained nor loading, and its role is "serving" or it has no wanted state.
  bool IsServing(const std::string& endpoint) const;
  // Returns true if `endpoint` may start loading without exceeding the pool's
  // limit or taking its last serving endpoint out of service.
  bool CanStartLoading(const core::PoolId& pool,
                       const std::string& endpoint) const;
  size_t CountLoading(const core::PoolId& pool) const;
  bool AreClaimsFresh(core::TimePoint now) const;

  // Detects from the time of the previous tick that the process was paused.
  void DetectPause(core::TimePoint now);
  // Updates the pools whose claim has changed.
  void ApplyClaims(core::TimePoint read_at);
  void RequestClaims(std::vector<OrderAction>* actions);
  void ClaimPools(core::TimePoint now, std::vector<OrderAction>* actions);
  void ReadStates(core::TimePoint now, std::vector<OrderAction>* actions);
  std::vector<Candidate> FindCandidates(core::TimePoint now);
  void SendOrders(core::TimePoint now, std::vector<OrderAction>* actions);

  const std::string holder_;
  const OrderOptions options_;
  ConfigurationView configuration_ = std::make_shared<const Configuration>();
  PoolMembers pools_;
  std::set<core::PoolId> owned_pools_;
  OrderClaims claims_;
  std::optional<core::TimePoint> claims_read_at_;
  bool is_reading_claims_ = false;
  std::map<core::PoolId, Pool> pool_states_;
  std::map<std::string, Endpoint> endpoints_;
  std::optional<core::TimePoint> last_tick_;
  core::TimePoint claim_not_before_;
};

}  // namespace wasabi::intent

#endif  // LIBINTENT_ORDER_CONTROLLER_H_
