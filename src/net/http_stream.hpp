// An HTTP/1.1 answer that is read as it comes: a body that may never end, by Boost.Beast's parser.
#pragma once

#include <memory>
#include <string>
#include <string_view>

namespace gorsemount::net {

class HttpStream {
 public:
  HttpStream();
  ~HttpStream();
  HttpStream(const HttpStream&) = delete;
  HttpStream& operator=(const HttpStream&) = delete;

  // Takes what it can use and returns how many bytes that was; the rest is offered again with more behind it.
  std::size_t feed(std::string_view bytes);
  void end();                             // the peer closed: whole, where nothing told the body's length
  [[nodiscard]] unsigned status() const;  // 0: the headers have not all come
  [[nodiscard]] std::string take();       // the body's bytes since the last call
  [[nodiscard]] bool done() const;        // the body is whole
  [[nodiscard]] const std::string& error() const;  // not empty: the peer does not speak HTTP

 private:
  struct Parser;
  std::unique_ptr<Parser> parser_;
};

}  // namespace gorsemount::net
