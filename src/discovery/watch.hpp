// Discovery over HTTP: a watch that brings changes, and the whole list where changes can't be trusted.
// One call at a time, and one watch. Where the watch falls silent, or the address changes, another is asked
// for beside it, and the old one stands till that answers or it ends. When to ask again with none left is the
// caller's to say. Times by chance are from the given seed: coordinators that share the service must not meet
// there again and again.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "core/address.hpp"
#include "discovery/backend_list.hpp"
#include "net/loop.hpp"
#include "net/socket.hpp"

namespace gorsemount::discovery {

class Watch {
 public:
  // An empty line comes every 2 s, and all counts as told after 6: a silence, a dial and its answer fit into
  // that.
  struct Timeouts {
    Span connect = Span::seconds(1);   // to a machine that is there it takes milliseconds
    Span answer = Span::seconds(2.5);  // to its first byte: a call waits 2 s in the service at most
    Span silence = Span::seconds(
        2.4);  // of a watch, from its last whole line; of an answer in pieces, from its last byte
    Span dead = Span::seconds(6);    // a watch without a line for this long has ended
    Span whole = Span::seconds(15);  // an answer may take this long if bytes keep coming
    Span again =
        Span::seconds(0.4);  // beside a watch that stands: half as long to half as long again, by chance
  };
  // Called from the loop, never from within a call made here.
  struct Callbacks {
    std::function<void(BackendList)> list;
    std::function<void(const std::string& why)> failed;  // nothing is followed any more
  };

  Watch(net::Loop& loop, Endpoint to, Timeouts timeouts, std::uint64_t seed, Callbacks callbacks);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  void resume_from(std::uint64_t version) { version_ = version; }  // changes after it are asked for
  void subscribe();              // asks, unless a call is under way; with a watch that stands it does nothing
  void subscribe_after_delay();  // the same soon, at a time by chance
  void set_endpoint(Endpoint to);
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] bool established() const;

 private:
  struct Call;
  void start();
  void start_later();
  [[nodiscard]] Span soon();
  [[nodiscard]] bool current(const Call& call) const;
  void retire(std::unique_ptr<Call>& held);
  void ended(Call& call, const std::string& why);
  void expect(Call& call, Instant until, const char* why);
  bool line(Call& call, std::string_view text);
  void stands(Call& call);
  void answered(Call& call);

  net::Loop& loop_;
  Endpoint to_;
  Timeouts timeouts_;
  Callbacks callbacks_;
  std::mt19937 chance_;
  std::uint64_t version_ = 0;
  bool needs_resync_ = false;  // changes may be missing: the whole list is due
  bool older_once_ = false;    // a whole list older than ours has come, and none newer since
  net::Loop::Timer quiet_, again_;
  std::unique_ptr<Call> standing_, asking_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gorsemount::discovery
