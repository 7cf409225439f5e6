// The one loop of a process, on its one thread, over libev.

#ifndef LIBCORE_EVENT_LOOP_H_
#define LIBCORE_EVENT_LOOP_H_

#include <functional>
#include <memory>

#include "LibCore/time.h"

struct ev_loop;

namespace wasabi::core {

class EventLoop;

// A one-shot or repeating timer. Destroying it cancels it.
class Timer {
 public:
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Sets the timer to fire once, `delay` from now; replaces an earlier time.
  void StartOnce(Duration delay);
  // Sets the timer to fire every `period`, first after one period.
  void StartRepeating(Duration period);
  void Stop();

 private:
  friend class EventLoop;
  struct Watcher;
  Timer(struct ev_loop* loop, std::function<void()> callback);

  std::unique_ptr<Watcher> watcher_;
};

// Watches a file descriptor. Destroying it ends the watch, not the descriptor.
class IoWatcher {
 public:
  ~IoWatcher();
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;

  // Chooses the directions to wait for; neither pauses the watch.
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

  // Runs until Stop is called.
  void Run();
  void Stop();

  // The time now.
  TimePoint Now() const { return Clock::now(); }

  // A stopped timer that calls `callback` when it fires.
  std::unique_ptr<Timer> NewTimer(std::function<void()> callback);

  // A watch over `descriptor`, with interest in reading from the start.
  std::unique_ptr<IoWatcher> Watch(
      int descriptor,
      std::function<void(bool readable, bool writable)> callback);

  // Calls `task` in a later turn of the loop.
  void Post(std::function<void()> task);

  // Calls `callback` when the process gets `signal_number`.
  void OnSignal(int signal_number, std::function<void()> callback);

  // Calls `callback` before each time the loop goes to sleep.
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
