// Hands the configuration from daemon to daemon, for those that start while
// the platform is down or that are cut off from it.

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

// The request of a link::CallKind::kFetchConfiguration call; its answer is one
// ConfigurationOffer.
struct ConfigurationQuery {
  // The revision that the asking daemon holds, or -1.
  int64_t known_revision = -1;

  auto operator<=>(const ConfigurationQuery&) const = default;

  MSGPACK_DEFINE(known_revision);
};

// Answers a kFetchConfiguration call from the state of `follower`.
void AnswerFetchConfiguration(const ConfigurationFollower& follower,
                              link::InboundCall* call);

struct CatchUpOptions {
  core::Duration period = std::chrono::milliseconds(500);
  // How long a peer must have been ahead, so that a daemon that reads the log
  // itself does not ask its peers after every change.
  core::Duration patience = std::chrono::seconds(2);
};

// Decides which peer to ask. Pure.
class CatchUpPolicy {
 public:
  explicit CatchUpPolicy(core::Duration patience) : patience_(patience) {}

  // The member with the highest applied offset, where it has been above
  // `own_offset` for the patience and `own_offset` has not grown meanwhile.
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

// Asks peers from time to time while this daemon is behind them.
class ConfigurationCatchUp {
 public:
  using MembersSource = std::function<membership::MemberTableView()>;

  // All pointers must outlive this object.
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
