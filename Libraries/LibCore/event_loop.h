// The event loop of a process, based on libev. A process has one loop, which
// runs on its only thread.

#ifndef LIBCORE_EVENT_LOOP_H_
#define LIBCORE_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "LibCore/time.h"

struct ev_loop;

namespace wasabi::core {

class EventLoop;

// A one-shot or repeating timer. Destroying it cancels it. The loop must
// outlive it.
class Timer {
 public:
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Arms the timer to fire once after `delay`; replaces the previous schedule.
  void StartOnce(Duration delay);
  // Arms the timer to fire every `period`, first after one period.
  void StartRepeating(Duration period);
  void Stop();

 private:
  friend class EventLoop;
  struct Watcher;
  Timer(struct ev_loop* loop, std::function<void()> callback);

  std::unique_ptr<Watcher> watcher_;
};

// Watches a file descriptor. Destroying the watcher stops it but does not close
// the descriptor. The loop must outlive it.
class IoWatcher {
 public:
  ~IoWatcher();
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;

  // Sets the directions to wait for; the watcher is paused if both are false.
  void SetInterest(bool readable, bool writable);

 private:
  friend class EventLoop;
  struct Watcher;
  IoWatcher(struct ev_loop* loop,
            int descriptor,
            std::function<void(bool readable, bool writable)> callback);

  std::unique_ptr<Watcher> watcher_;
};

class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // Runs the loop until Stop() is called.
  void Run();
  void Stop();

  // Returns the current time.
  TimePoint Now() const { return Clock::now(); }

  // Returns a stopped timer that calls `callback` on the loop when it fires.
  std::unique_ptr<Timer> NewTimer(std::function<void()> callback);

  // Returns a watcher of `descriptor` that waits for readability at first and
  // calls `callback` on the loop.
  std::unique_ptr<IoWatcher> Watch(
      int descriptor,
      std::function<void(bool readable, bool writable)> callback);

  // Calls `task` in a later iteration of the loop.
  void Post(std::function<void()> task);

  // Calls `callback` on the loop when the process receives `signal_number`.
  void OnSignal(int signal_number, std::function<void()> callback);

  // Calls `callback` each time before the loop blocks to wait for events.
  void OnBeforeSleep(std::function<void()> callback);

  struct ev_loop* native() const {
    return loop_;
  }

 private:
  struct State;

  struct ev_loop* loop_;
  std::unique_ptr<State> state_;
};

}  // namespace wasabi::core

#endif  // LIBCORE_EVENT_LOOP_H_
