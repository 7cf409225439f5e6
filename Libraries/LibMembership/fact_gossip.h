// Disseminates facts to all members: small key-value pairs that expire, such as
// quarantined content digests and endpoints that are down. Facts are soft
// state. They may be lost or delayed, but members converge on the highest
// version of each key. Bandwidth and memory are bounded regardless of what
// peers send.

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
  // Limit on the size of the key plus the value, in bytes.
  size_t max_fact_bytes = 200;
  // Longer lifetimes are shortened to this.
  core::Duration max_lifetime = core::seconds(3600);
  // Send limit in bytes per second, including IP and UDP headers.
  double rate = 1000;
};

// Decision code without I/O: the caller supplies the time and sends datagrams.
class FactGossip {
 public:
  using SendFunction =
      std::function<void(const core::HostId& to, std::string_view body)>;
  // Called for every fact that is added or changed on this member, including
  // those set locally. `value` is empty for a withdrawn fact.
  using Observer =
      std::function<void(const std::string& key, const std::string& value)>;

  FactGossip(FactOptions options, uint64_t random_seed, SendFunction send);

  // Sets the fact `key` for `lifetime`, replacing its previous value. An empty
  // value withdraws the fact. Returns kMalformedMessage if the key is empty or
  // the fact exceeds `max_fact_bytes`.
  absl::Status Set(const std::string& key,
                   const std::string& value,
                   core::Duration lifetime,
                   core::TimePoint now);

  // Returns the value of `key`, or nullopt if it is unknown, expired or
  // withdrawn.
  std::optional<std::string> Get(const std::string& key,
                                 core::TimePoint now) const;

  // Returns the key and value of every current fact whose key starts with
  // `prefix`.
  std::vector<std::pair<std::string, std::string>> WithPrefix(
      std::string_view prefix,
      core::TimePoint now) const;

  void SetObserver(Observer observer) { observer_ = std::move(observer); }

  // Removes expired facts and sends pending ones. Must be called every
  // kGossipTick.
  void Tick(const MemberTable& table, core::TimePoint now);

  // Merges the facts in a datagram body received from a member. Returns
  // kMalformedMessage if it can't be decoded.
  absl::Status OnDatagram(std::string_view body, core::TimePoint now);

  size_t size() const { return facts_.size(); }

 private:
  struct Fact {
    std::string value;
    uint64_t version = 0;
    core::TimePoint expires_at{};
    // How often this member has sent the fact.
    int transmissions = 0;
  };
  // A fact as encoded in a datagram. The lifetime is relative because members
  // don't share a clock.
  struct WireFact {
    std::string key;
    std::string value;
    uint64_t version = 0;
    uint32_t remaining_ms = 0;

    MSGPACK_DEFINE(key, value, version, remaining_ms);
  };

  bool IsSizeAllowed(const std::string& key, const std::string& value) const;
  void Store(const std::string& key, Fact fact);
  // Removes the fact that expires first.
  void EvictOne();
  // Returns as many of the facts accepted by `is_wanted` as fit into one
  // datagram, beginning at index `start` and wrapping around, and increments
  // their transmission counts.
  std::vector<WireFact> SelectForDatagram(
      const std::function<bool(const Fact&)>& is_wanted,
      size_t start,
      core::TimePoint now);
  void SendToNext(const MemberTable& table,
                  const std::vector<WireFact>& facts,
                  core::TimePoint now);
  // Returns the next member in a shuffled round that visits every other member
  // once, or nullopt if there is no other member.
  std::optional<core::HostId> NextPeer(const MemberTable& table);

  const FactOptions options_;
  const SendFunction send_;
  core::RandomSource random_;
  TokenBucket bucket_;
  std::map<std::string, Fact, std::less<>> facts_;
  Observer observer_;
  core::TimePoint next_resend_at_{};
  // Members not yet visited in this round. The next one is at the back.
  std::vector<core::HostId> round_;
};

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_FACT_GOSSIP_H_
