// Queues member updates for dissemination by gossip. Each update is sent in a
// bounded number of datagrams, and the least transmitted updates are sent
// first.

#ifndef LIBMEMBERSHIP_UPDATE_QUEUE_H_
#define LIBMEMBERSHIP_UPDATE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "LibMembership/gossip_message.h"
#include "LibMembership/member_directory.h"

namespace wasabi::membership {

class UpdateQueue {
 public:
  // Queues an update about the member and resets its transmission count. If
  // `with_record` is true, the full record is sent because other members may
  // not have it; otherwise only the status is sent.
  void Add(uint64_t id_hash, bool with_record);

  // Appends updates with at most `byte_budget` encoded bytes to `updates`,
  // using the latest data in `directory`. Increments their transmission counts
  // and removes those that have reached the limit.
  void Fill(const MemberDirectory& directory,
            size_t byte_budget,
            Updates* updates);

  bool empty() const { return pending_.empty(); }

 private:
  struct Pending {
    uint64_t id_hash = 0;
    bool with_record = false;
    int transmissions = 0;
  };

  std::vector<Pending> pending_;
};

}  // namespace wasabi::membership

#endif  // LIBMEMBERSHIP_UPDATE_QUEUE_H_
