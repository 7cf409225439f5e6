// Spreads small facts that expire, such as quarantined content digests and
// endpoints that are down, to all members. Facts are soft state: they may be
// lost or late, never contradictory for long, since the higher version wins.
// Bytes and memory are bounded whatever others send.

#ifndef LIBMEMBERSHIP_FACT_GOSSIP_H_
#define LIBMEMBERSHIP_FACT_GOSSIP_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/message.h"
#include "LibCore/random_source.h"
#include "LibCore/time.h"
#include "LibMembership/member_table.h"
#include "LibMembership/token_bucket.h"
#include "absl/status/status.h"

namespace wasabi::membership {

struct FactOptions {
  core::HostId self;
  size_t max_facts = 1024;
  // Of key and value together, in bytes.
  size_t max_fact_bytes = 200;
  core::Duration max_lifetime = core::seconds(3600);
  // Limit on what is sent, in bytes a second with the headers of datagrams.
  double rate = 1000;
};

class FactGossip {
 public:
  using SendFunction =
      std::function<void(const core::HostId& to, std::string_view body)>;
  // Hears of every fact that is new or changed here, its own ones too.
  using Observer =
      std::function<void(const std::string& key, const std::string& value)>;

  FactGossip(FactOptions options, uint64_t random_seed, SendFunction send);

  // States a fact for `lifetime`; replaces what was known under the key. An
  // empty value withdraws it. Error: kMalformedMessage when it is too large.
  absl::Status Set(const std::string& key,
                   const std::string& value,
                   core::Duration lifetime,
                   core::TimePoint now);

  // The value under `key`, unless it has expired or was withdrawn.
  std::optional<std::string> Get(const std::string& key,
                                 core::TimePoint now) const;

  // All facts whose key begins with `prefix`, as key and value.
  std::vector<std::pair<std::string, std::string>> WithPrefix(
      std::string_view prefix,
      core::TimePoint now) const;

  void SetObserver(Observer observer) { observer_ = std::move(observer); }

  // Sends what is due and forgets what has expired; to be called every
  // kGossipTick.
  void Tick(const MemberTable& table, core::TimePoint now);

  // Takes a datagram from a member. Error: kMalformedMessage.
  absl::Status OnDatagram(std::string_view body, core::TimePoint now);

  size_t size() const { return facts_.size(); }

 private:
  struct Fact {
    std::string value;
    uint64_t version = 0;
    core::TimePoint expires_at{};
    int transmissions = 0;
  };
  struct WireFact {
    std::string key;
    std::string value;
    uint64_t version = 0;
    uint32_t remaining_ms = 0;

    MSGPACK_DEFINE(key, value, version, remaining_ms);
  };

  bool IsSizeAllowed(const std::string& key, const std::string& value) const;
  void Store(const std::string& key, Fact fact);
  void EvictOne();
  // Facts that fit one datagram, from those that `is_wanted` selects; counts
  // the transmission.
  std::vector<WireFact> Collect(
      const std::function<bool(const Fact&)>& is_wanted,
      size_t start,
      core::TimePoint now);
  void SendToNext(const MemberTable& table,
                  const std::vector<WireFact>& facts,
                  core::TimePoint now);
  // The next member of the round; every other member comes once per round.
  std::optional<core::HostId> NextPeer(const MemberTable& table);

  const FactOptions options_;
  const SendFunction send_;
  core::RandomSource random_;
  TokenBucket bucket_;
  std::map<std::string, Fact, std::less<>> facts_;
  Observer observer_;
  core::TimePoint next_repeat_at_{};
  // What is left of the round, the next one at the back.
  std::vector<core::HostId> round_;
};

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_FACT_GOSSIP_H_
