// A server for the runtime API's line protocol. A connection is one-shot (one line, its answers, then closed)
// or, after `prompt`, interactive (each answer is followed by a blank line and "> "). A line may hold several
// commands separated by `;`. A command that ends in `<<` takes the lines up to the next empty one as payload.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/socket.hpp"

namespace gorsemount::runtime_api {

class CommandServer {
 public:
  // Returns the answer without its closing blank line. `peer` identifies the connection.
  using Handler =
      std::function<std::string(std::uint64_t peer, const std::string& command, const std::string& payload)>;
  struct Limits {
    std::size_t max_peers = 64, max_line_bytes = 16384, max_payload_bytes = 65536;
    Span idle_timeout = Span::seconds(600);
  };

  CommandServer(net::Loop& loop, Handler handler, Limits limits);
  ~CommandServer();
  CommandServer(const CommandServer&) = delete;
  CommandServer& operator=(const CommandServer&) = delete;

  void listen(const Endpoint& endpoint);                // throws std::system_error
  void listen(const std::string& path, unsigned mode);  // throws std::system_error
  void stop_listening();
  // Resets all connections. For stand-ins, as are the functions up to drop_paused().
  void disconnect_all();
  // While paused, received bytes are buffered and no command runs.
  void set_paused(bool paused);
  // Runs only the next whole lines of a peer that fit in `bytes`, then buffers its input and calls
  // `on_paused` once. resume() runs the buffered input, even of a peer that has closed since; drop_paused()
  // discards it and resets the connection.
  void pause_after(std::uint64_t peer, std::size_t bytes, std::function<void()> on_paused);
  void resume();
  void drop_paused();
  [[nodiscard]] std::size_t peers() const { return peers_.size(); }
  void on_disconnect(std::function<void(std::uint64_t)> callback) { on_disconnect_ = std::move(callback); }

 private:
  struct Peer;
  void accept(net::Fd fd);
  void run_buffered(std::uint64_t id, const std::shared_ptr<Peer>& peer);
  [[nodiscard]] bool reaches_pause(const std::shared_ptr<Peer>& peer, std::size_t line_bytes);
  std::size_t on_data(std::uint64_t id, std::string_view bytes);
  void run_commands(std::uint64_t id, const std::string& line, const std::string& payload);

  net::Loop& loop_;
  Handler handler_;
  Limits limits_;
  std::unique_ptr<net::Listener> tcp_, unix_;
  std::map<std::uint64_t, std::shared_ptr<Peer>> peers_;
  std::function<void(std::uint64_t)> on_disconnect_;
  std::uint64_t last_id_ = 0;
  bool paused_ = false;
  std::map<std::uint64_t, std::shared_ptr<Peer>> paused_peers_;
};

}  // namespace gorsemount::runtime_api
