// Client-side cache of entry hosts. It queries the system for the addresses to
// use and caches each response for the lifetime that the response states.

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

// Identifies the caller and the chat for which addresses are looked up.
struct HostQuery {
  std::string organisation;
  // `chat` and `model` are empty for a call to a plain service.
  std::string chat;
  std::string model;

  auto operator<=>(const HostQuery&) const = default;
};

class HostDirectory {
 public:
  using Addresses = std::vector<core::SocketAddress>;
  using Callback = std::function<void(const Addresses& addresses)>;

  // `seeds` are the addresses to query. With `is_fixed` nothing is queried:
  // Find returns the seeds, starting with the one that the chat key hashes to.
  // `seed` seeds the choice of the address to query first. `loop` and `client`
  // must outlive the directory.
  HostDirectory(core::EventLoop* loop,
                http::Client* client,
                Addresses seeds,
                bool is_fixed,
                uint64_t seed);

  // Calls `callback` with the addresses in the order in which to try them, or
  // with an empty list if no seed returned an address. Calls it before
  // returning if the addresses are fixed or cached.
  void Find(const HostQuery& query, const Callback& callback);

  // Removes the cached response to `query`.
  void Forget(const HostQuery& query) { answers_.erase(query); }

  // Number of queries sent.
  uint64_t query_count() const { return query_count_; }

 private:
  struct Answer {
    Addresses addresses;
    core::TimePoint expiry;
  };

  Addresses RotatedSeeds(const HostQuery& query) const;
  // Queries the seed at `seed_index`, then up to `seeds_left` - 1 further seeds
  // until one returns an address.
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
  uint64_t query_count_ = 0;
};

}  // namespace wasabi::load

#endif  // UTILITIES_LOAD_HOST_DIRECTORY_H_
