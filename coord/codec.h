#pragma once

// Reads and writes sequences of plain fields, msgpack-encoded. The record
// types of this folder and the daemons' messages are such sequences.

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace firefly::coord {

// Writes one field after the other.
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

  // The bytes written so far; the writer is empty afterwards.
  [[nodiscard]] std::string Take();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

// Reads the fields in the order in which they were written. After a field of
// another type, or past the end, Ok() is false and all reads give zero.
class FieldReader
{
public:
  // The bytes must outlive the reader.
  explicit FieldReader(std::string_view aBytes);

  [[nodiscard]] std::uint64_t Number();
  [[nodiscard]] std::int64_t Signed();
  [[nodiscard]] bool Flag();
  [[nodiscard]] std::string Text();

  // Whether all reads so far found their field.
  [[nodiscard]] bool Ok() const { return mOk; }
  // Whether all fields were read.
  [[nodiscard]] bool AtEnd() const { return mOffset == mBytes.size(); }

private:
  template<typename T>
  T Next();

  std::string_view mBytes;
  std::size_t mOffset = 0;
  bool mOk = true;
};

} // namespace firefly::coord
