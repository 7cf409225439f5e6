// News that is still being spread. Each piece rides on a bounded number of
// datagrams; pieces that were sent least go first.

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
  // Queues what the directory knows about the member; `with_record` when
  // others may not have its record. Replaces older news about it.
  void Add(uint64_t id_hash, bool with_record);

  // Moves news of at most `byte_budget` encoded bytes into `updates` and
  // counts the transmission.
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
