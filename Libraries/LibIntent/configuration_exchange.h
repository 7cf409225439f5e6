// Transfers the configuration between daemons, so that a daemon that starts
// during a platform outage or can't reach the platform still gets it.

#ifndef LIBINTENT_CONFIGURATION_EXCHANGE_H_
#define LIBINTENT_CONFIGURATION_EXCHANGE_H_

#include <compare>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/message.h"
#include "LibCore/socket_address.h"
#include "LibIntent/configuration_follower.h"
#include "LibLink/link.h"
#include "LibMembership/member_table.h"

namespace wasabi::intent {

// Request of a link::CallKind::kFetchConfiguration call. The response is one
// FetchConfigurationResponse message.
struct FetchConfigurationRequest {
  // Revision that the requesting daemon holds, or -1 if it has none.
  int64_t known_revision = -1;

  auto operator<=>(const FetchConfigurationRequest&) const = default;

  MSGPACK_DEFINE(known_revision);
};

// Responds to a kFetchConfiguration call with the state of `follower`. Finishes
// the call with an error if the request can't be decoded.
void AnswerFetchConfiguration(const ConfigurationFollower& follower,
                              link::InboundCall* call);

struct CatchUpOptions {
  // Interval between two comparisons with the peers.
  core::Duration period = std::chrono::milliseconds(500);
  // How long this daemon must have lagged behind a peer before it fetches the
  // state. A daemon that reads the log itself would otherwise query its peers
  // after every change.
  core::Duration patience = std::chrono::seconds(2);
};

// Decides which peer to fetch the configuration from. Performs no I/O.
class CatchUpPolicy {
 public:
  explicit CatchUpPolicy(core::Duration patience) : patience_(patience) {}

  // Returns the member with the highest applied offset if some peer has been
  // ahead of `own_offset` for at least `patience` and `own_offset` has not
  // changed in that time. Otherwise returns nullopt.
  std::optional<membership::Member> Choose(
      core::TimePoint now,
      const core::HostId& self,
      int64_t own_offset,
      const membership::MemberTable& members);

 private:
  const core::Duration patience_;
  int64_t last_own_offset_ = -1;
  std::optional<core::TimePoint> behind_since_;
};

// Periodically fetches the configuration from a peer while this daemon lags
// behind. At most one call is in flight.
class ConfigurationCatchUp {
 public:
  using MembersSource = std::function<membership::MemberTableSnapshot()>;

  // `loop` and `link` must outlive this object. `members` returns the current
  // member table and is called on the loop.
  ConfigurationCatchUp(core::EventLoop* loop,
                       link::Link* link,
                       std::shared_ptr<ConfigurationFollower> follower,
                       core::HostId self,
                       MembersSource members,
                       CatchUpOptions options = {});
  ~ConfigurationCatchUp();
  ConfigurationCatchUp(const ConfigurationCatchUp&) = delete;
  ConfigurationCatchUp& operator=(const ConfigurationCatchUp&) = delete;

 private:
  void Tick();
  void Ask(const membership::Member& peer);

  core::EventLoop* loop_;
  link::Link* link_;
  std::shared_ptr<ConfigurationFollower> follower_;
  const core::HostId self_;
  MembersSource members_;
  CatchUpPolicy policy_;
  std::unique_ptr<core::Timer> timer_;
  std::shared_ptr<link::OutboundCall> call_;
};

}  // namespace wasabi::intent

#endif  // LIBINTENT_CONFIGURATION_EXCHANGE_H_
