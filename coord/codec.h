#pragma once

// Encodes and decodes sequences of plain fields with msgpack. The log records
// of this folder and the daemons' messages use this format.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace firefly::coord {

// Appends fields to a buffer.
class FieldWriter
{
public:
  FieldWriter();
  FieldWriter(const FieldWriter&) = delete;
  FieldWriter& operator=(const FieldWriter&) = delete;
  ~FieldWriter();

  FieldWriter& Number(std::uint64_t aValue);
  FieldWriter& Signed(std::int64_t aValue);
  FieldWriter& Flag(bool aValue);
  FieldWriter& Text(std::string_view aValue);

  // Returns the bytes written so far and leaves the writer empty.
  [[nodiscard]] std::string Take();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

// Reads fields in the order in which they were written. After a field of an
// unexpected type, or past the end, Ok() is false and every read returns a zero
// or empty value.
class FieldReader
{
public:
  // The bytes must outlive the reader.
  explicit FieldReader(std::string_view aBytes);

  [[nodiscard]] std::uint64_t Number();
  [[nodiscard]] std::int64_t Signed();
  [[nodiscard]] bool Flag();
  [[nodiscard]] std::string Text();

  // Whether all reads so far succeeded.
  [[nodiscard]] bool Ok() const { return mOk; }
  // Whether all bytes have been read.
  [[nodiscard]] bool AtEnd() const { return mOffset == mBytes.size(); }

private:
  template<typename T>
  T Next();

  std::string_view mBytes;
  std::size_t mOffset = 0;
  bool mOk = true;
};

} // namespace firefly::coord
