// A caller's view of the entry hosts: asks the system which addresses to use
// and keeps each answer for its lifetime.

#ifndef UTILITIES_LOAD_HOST_DIRECTORY_H_
#define UTILITIES_LOAD_HOST_DIRECTORY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/random_source.h"
#include "LibCore/socket_address.h"
#include "LibHttp/client.h"

namespace wasabi::load {

// Who asks, and for what.
struct HostQuery {
  std::string organisation;
  // Both empty for a call to a plain service.
  std::string chat;
  std::string model;

  auto operator<=>(const HostQuery&) const = default;
};

class HostDirectory {
 public:
  using Addresses = std::vector<core::SocketAddress>;
  using Callback = std::function<void(const Addresses& addresses)>;

  // `seeds` are the addresses to ask. With `is_fixed` they are the answer too:
  // a chat goes to the seed that its key hashes to, without a question.
  HostDirectory(core::EventLoop* loop,
                http::Client* client,
                Addresses seeds,
                bool is_fixed,
                uint64_t seed);

  // Calls `callback` with the addresses to try in order; empty where no seed
  // answered.
  void Find(const HostQuery& query, const Callback& callback);

  // Drops the kept answer to `query`.
  void Forget(const HostQuery& query) { answers_.erase(query); }

  uint64_t questions() const { return questions_; }

 private:
  struct Answer {
    Addresses addresses;
    core::TimePoint expiry;
  };

  Addresses FixedOrder(const HostQuery& query) const;
  void Ask(const HostQuery& query,
           size_t seed_index,
           size_t seeds_left,
           const Callback& callback);
  void Keep(const HostQuery& query, const Answer& answer);

  core::EventLoop* loop_;
  http::Client* client_;
  const Addresses seeds_;
  const bool is_fixed_;
  core::RandomSource random_;
  std::map<HostQuery, Answer> answers_;
  uint64_t questions_ = 0;
};

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_HOST_DIRECTORY_H_
