// The socket's manners, for whoever answers commands: one-shot (a line, its answers, the end) and interactive
// (`prompt`: an answer ends with a blank line and "> "); several commands a line joined by `;`; a command
// whose last word is `<<` takes the lines up to the next empty one as its payload.
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
  // The answer's text, without the blank line at its end. `peer`: a number for each connection.
  using Handler =
      std::function<std::string(std::uint64_t peer, const std::string& command, const std::string& payload)>;
  struct Limits {
    std::size_t peers_most = 64, line_most = 16384, payload_most = 65536;
    Span idle = Span::seconds(600);
  };

  CommandServer(net::Loop& loop, Handler handler, Limits limits);
  ~CommandServer();
  CommandServer(const CommandServer&) = delete;
  CommandServer& operator=(const CommandServer&) = delete;

  void listen(const Endpoint& at);                      // throws std::system_error
  void listen(const std::string& path, unsigned mode);  // throws std::system_error
  void stop_listening();
  // Breaks all streams; for stand-ins.
  void disconnect_all();
  // While on, nothing is read from any peer's commands: for stand-ins that are slow.
  void set_paused(bool on);
  // For stand-ins: of what a peer sends from now on, that many bytes are taken. What follows stays on the
  // way, and `then` is told, once; resume() lets it come, unless the peer has gone for good with
  // drop_paused().
  void pause_after(std::uint64_t peer, std::size_t bytes, std::function<void()> then);
  void resume();
  void drop_paused();
  [[nodiscard]] std::size_t peers() const { return peers_.size(); }
  // Called when a peer has gone.
  void on_disconnect(std::function<void(std::uint64_t)> gone) { gone_ = std::move(gone); }

 private:
  struct Peer;
  void accept(net::Fd fd);
  void feed(std::uint64_t number, const std::shared_ptr<Peer>& peer);
  [[nodiscard]] bool froze(const std::shared_ptr<Peer>& peer, std::size_t line);
  std::size_t data(std::uint64_t number, std::string_view bytes);
  void run(std::uint64_t number, const std::string& line, const std::string& payload);

  net::Loop& loop_;
  Handler handler_;
  Limits limits_;
  std::unique_ptr<net::Listener> tcp_, unix_;
  std::map<std::uint64_t, std::shared_ptr<Peer>> peers_;
  std::function<void(std::uint64_t)> gone_;
  std::uint64_t number_ = 0;
  bool held_ = false;
  std::map<std::uint64_t, std::shared_ptr<Peer>> frozen_;
};

}  // namespace gorsemount::runtime_api
