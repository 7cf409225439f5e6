// Brings endpoints to their wanted states. Pure: it takes the time, what was
// read and who owns what, and returns what to read, claim or send next.
//
// The holder of a pool's orders is the control daemon that rendezvous hashing
// names; it claims the pool in the log first. Before it sends, it has read the
// claims to their end within OrderOptions::claim_freshness, so a daemon that
// was paused finds out that another took over. Endpoints that check the
// fencing number refuse what it sends nevertheless; those that don't are read
// back by the next holder and corrected.

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
  // Most endpoints of a pool that load at once, as a share of the pool; one
  // may always load.
  double loading_share = 0.34;
  // Most endpoints that load at once over all pools of one holder. The weight
  // store's rate is shared among them.
  int max_loads = 4;
  // How long ago the claims may have been read when an order is sent.
  core::Duration claim_freshness = std::chrono::seconds(1);
  // How long a new holder waits before it reads and orders: what its
  // predecessor sent within claim_freshness has arrived by then, where orders
  // take at most the difference.
  core::Duration take_over_wait = std::chrono::seconds(3);
  // Least time between two claims of one pool.
  core::Duration claim_interval = std::chrono::seconds(2);
  // After a pause of the process of more than `pause_threshold`, no claim is
  // made for `settle_time`, so that the member table can catch up.
  core::Duration pause_threshold = std::chrono::seconds(3);
  core::Duration settle_time = std::chrono::seconds(3);
  // Time between two readings of an endpoint that is as it should be.
  core::Duration read_back_period = std::chrono::seconds(5);
  // The same for an endpoint that loads.
  core::Duration loading_poll_period = std::chrono::milliseconds(500);
  // An order whose load takes longer is sent again, behind the others.
  core::Duration load_timeout = std::chrono::minutes(10);
  // Pause before an order that failed is sent again.
  core::Duration retry_pause = std::chrono::seconds(1);
};

// Reads the claims stream from `from` on, without waiting.
struct ReadClaims {
  platform::Offset from = 0;

  auto operator<=>(const ReadClaims&) const = default;
};

struct AppendClaim {
  OrderClaim claim;

  auto operator<=>(const AppendClaim&) const = default;
};

struct ReadEndpointState {
  std::string endpoint;

  auto operator<=>(const ReadEndpointState&) const = default;
};

struct SendOrder {
  std::string endpoint;
  WantedState state;
  platform::Offset fencing_number = -1;
  // The endpoint had the state before and lost it.
  bool is_correction = false;

  auto operator<=>(const SendOrder&) const = default;
};

using OrderAction =
    std::variant<ReadClaims, AppendClaim, ReadEndpointState, SendOrder>;

// What an endpoint says about itself.
struct EndpointState {
  WantedState state;
  // False while it still loads.
  bool is_applied = true;

  auto operator<=>(const EndpointState&) const = default;
};

class OrderController {
 public:
  // `holder` names this life of this daemon in claims.
  OrderController(std::string holder, OrderOptions options);

  void SetConfiguration(ConfigurationView configuration);
  // The live endpoints of each pool.
  void SetPools(PoolMembers pools);
  // The pools that rendezvous hashing gives to this daemon.
  void SetOwnedPools(std::set<core::PoolId> pools);

  // The answer to ReadClaims that was asked for at `asked_at`.
  void OnClaims(core::TimePoint asked_at,
                const absl::StatusOr<platform::LogPage>& page);
  // The claims before `first_kept` are lost.
  void OnClaimsForgotten(platform::Offset first_kept);
  // The answer to AppendClaim; what counts is the record as it is read.
  void OnClaimAppended(const core::PoolId& pool);
  void OnEndpointState(core::TimePoint now,
                       const std::string& endpoint,
                       const absl::StatusOr<EndpointState>& state);
  // The answer to SendOrder.
  void OnOrderAnswered(core::TimePoint now,
                       const std::string& endpoint,
                       const absl::Status& status);

  // What to do now. Each action is answered by one of the calls above before
  // it is returned again.
  std::vector<OrderAction> Tick(core::TimePoint now);

  // Whether this daemon holds the orders of `pool`, as far as it has read.
  bool IsHolder(const core::PoolId& pool) const;
  // Endpoints that are not in their wanted state, of the pools held here.
  size_t CountPending() const;

 private:
  struct Endpoint {
    std::optional<EndpointState> observed;
    core::TimePoint observed_at;
    core::TimePoint not_before;
    // Since when it has waited for its order, which decides who is next.
    std::optional<core::TimePoint> waiting_since;
    std::optional<core::TimePoint> ordered_at;
    // The last state that it was seen to reach.
    std::optional<WantedState> reached;
    bool is_reading = false;
    bool is_ordering = false;
    // Its state is unknown since the holder changed or an order failed.
    bool needs_read = true;
  };

  struct Pool {
    platform::Offset fencing_number = -1;
    bool is_claiming = false;
    bool needs_new_claim = false;
    std::optional<core::TimePoint> claimed_at;
    // When the wait after a change of holder ends.
    core::TimePoint usable_at;
  };

  struct Candidate {
    core::TimePoint waiting_since;
    std::string endpoint;
    core::PoolId pool;

    auto operator<=>(const Candidate&) const = default;
  };

  const WantedState* WantedOf(const std::string& endpoint) const;
  // The endpoints of `pool` where orders may be given now, else none.
  const std::set<std::string>& UsableMembers(core::TimePoint now,
                                             const core::PoolId& pool) const;
  // Whether an endpoint with a wanted state has not been read yet.
  bool HasUnread(const std::set<std::string>& members) const;
  bool HasWork(const core::PoolId& pool) const;
  bool IsLoading(const std::string& endpoint) const;
  bool IsServing(const std::string& endpoint) const;
  bool MayLoad(const core::PoolId& pool, const std::string& endpoint) const;
  size_t CountLoading(const core::PoolId& pool) const;
  bool AreClaimsFresh(core::TimePoint now) const;

  void NotePause(core::TimePoint now);
  void NoteClaims(core::TimePoint read_at);
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
  std::map<core::PoolId, Pool> held_;
  std::map<std::string, Endpoint> endpoints_;
  std::optional<core::TimePoint> last_tick_;
  core::TimePoint claim_not_before_;
};

}  // namespace wasabi::intent

#endif  // LIBINTENT_ORDER_CONTROLLER_H_
