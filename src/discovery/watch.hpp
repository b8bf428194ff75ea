// Discovery over HTTP: a watch that brings changes, and the whole list where changes can't be trusted.
// One call at a time, and one watch; a change of address keeps the old watch till the new one answers or it ends.
// When to ask again after a failure is the caller's to say.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/address.hpp"
#include "discovery/list.hpp"
#include "net/loop.hpp"
#include "net/socket.hpp"

namespace gorsemount::discovery {

class Watch {
 public:
  struct Patience {
    Span connect = Span::seconds(1);    // to a machine that is there it takes milliseconds
    Span answer = Span::seconds(2.5);   // the service takes calls one after another; a call waits 2 s there at most
    Span silence = Span::seconds(3.2);  // an empty line comes every 2 s; all counts as told after 6
  };
  // Called from the loop, never from within a call made here.
  struct Told {
    std::function<void(Listing)> list;
    std::function<void(const std::string& why)> failed;  // nothing is followed any more
  };

  Watch(net::Loop& loop, Endpoint to, Patience patience, Told told);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  void know(std::uint64_t version) { version_ = version; }  // changes after it are asked for
  void follow();  // asks, unless a call is under way; with a watch that stands it does nothing
  void move(Endpoint to);
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] bool following() const;
  [[nodiscard]] std::optional<Instant> heard() const { return heard_; }  // anything, from any watch

 private:
  struct Call;
  void start();
  [[nodiscard]] bool current(const Call& call) const;
  void retire(std::unique_ptr<Call>& held);
  void ended(Call& call, const std::string& why);
  bool line(Call& call, std::string_view text);
  void answered(Call& call);

  net::Loop& loop_;
  Endpoint to_;
  Patience patience_;
  Told told_;
  std::uint64_t version_ = 0;
  bool doubtful_ = false;  // changes may be missing: the whole list is due
  std::optional<Instant> heard_;
  std::unique_ptr<Call> standing_, asking_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gorsemount::discovery
