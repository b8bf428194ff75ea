// Client of the discovery service over HTTP: a watch that streams changes, and a full list as a resync when
// changes may be missing. There is at most one established watch and one pending call. If the watch falls
// silent or the endpoint changes, a new watch is requested while the old one stays established, until the new
// one responds or the old one ends. Once neither is left, the caller decides when to subscribe again. Retry
// delays have jitter from the given seed, so that coordinators do not call the service in lockstep.
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
  // The service sends an empty line every 2 s and assumes that a change has reached all clients after 6 s. A
  // detected silence, a connect and the response fit into that.
  struct Timeouts {
    Span connect = Span::seconds(1);     // takes milliseconds to a running host
    Span response = Span::seconds(2.5);  // to the first byte; the service holds a call for 2 s at most
    Span silence = Span::seconds(2.4);   // since a watch's last complete line, or the last byte of a response
    Span watch_expiry = Span::seconds(6);   // a watch without a line for this long is closed
    Span total = Span::seconds(15);         // for a response that keeps making progress
    Span retry_delay = Span::seconds(0.4);  // mean retry delay while a watch is established; jitter of 50%
  };
  // Called from the event loop, never from within a member function.
  struct Callbacks {
    std::function<void(BackendList)> on_list;
    std::function<void(const std::string& reason)> on_failure;  // no watch or call is left
  };

  Watch(net::Loop& loop, Endpoint endpoint, Timeouts timeouts, std::uint64_t seed, Callbacks callbacks);
  ~Watch();
  Watch(const Watch&) = delete;
  Watch& operator=(const Watch&) = delete;

  void resume_from(std::uint64_t version) { version_ = version; }  // requests changes after this version
  void subscribe();              // no-op if a call is pending or a watch is established
  void subscribe_after_delay();  // the same after a random delay
  void set_endpoint(Endpoint endpoint);
  [[nodiscard]] std::uint64_t version() const { return version_; }
  [[nodiscard]] bool established() const;

 private:
  struct Call;
  void start();
  void start_after_delay();
  [[nodiscard]] Span jittered_retry_delay();
  [[nodiscard]] bool is_current(const Call& call) const;
  void retire(std::unique_ptr<Call>& call);
  void end_call(Call& call, const std::string& reason);
  void set_deadline(Call& call, Instant until, const char* reason);
  bool handle_line(Call& call, std::string_view text);
  void mark_established(Call& call);
  void handle_response(Call& call);

  net::Loop& loop_;
  Endpoint endpoint_;
  Timeouts timeouts_;
  Callbacks callbacks_;
  std::mt19937 rng_;
  std::uint64_t version_ = 0;
  bool needs_resync_ = false;    // changes may be missing; the next call fetches the full list
  bool saw_older_list_ = false;  // an older full list was rejected, and no list accepted since
  net::Loop::Timer silence_timer_, retry_timer_;
  std::unique_ptr<Call> established_, pending_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace gorsemount::discovery
