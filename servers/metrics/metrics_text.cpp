#include "servers/metrics/metrics_text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <limits>

namespace firefly {

namespace {

bool
IsNameStart(char aChar)
{
  return (aChar >= 'a' && aChar <= 'z') || (aChar >= 'A' && aChar <= 'Z') ||
         aChar == '_';
}

bool
IsNamePart(char aChar)
{
  return IsNameStart(aChar) || (aChar >= '0' && aChar <= '9');
}

std::string
FormatValue(double aValue)
{
  if (std::isnan(aValue)) {
    return "NaN";
  }
  if (std::isinf(aValue)) {
    return aValue > 0 ? "+Inf" : "-Inf";
  }
  std::array<char, 64> buf{};
  const auto end =
    std::to_chars(buf.data(), buf.data() + buf.size(), aValue).ptr;
  return { buf.data(), end };
}

std::string
Escape(std::string_view aText, bool aQuotes)
{
  std::string escaped;
  for (const char it : aText) {
    if (it == '\\') {
      escaped += "\\\\";
    } else if (it == '\n') {
      escaped += "\\n";
    } else if (it == '"' && aQuotes) {
      escaped += "\\\"";
    } else {
      escaped += it;
    }
  }
  return escaped;
}

MetricLabels
LabelsOf(const MetricOptions& aOptions, const std::vector<std::string>& aValues)
{
  MetricLabels labels;
  for (std::size_t n = 0; n < aValues.size(); ++n) {
    labels.push_back({ aOptions.labelNames[n], aValues[n] });
  }
  return labels;
}

// Appends a label.
MetricLabels
WithLabel(MetricLabels aLabels, const std::string& aName, std::string aValue)
{
  aLabels.push_back({ aName, std::move(aValue) });
  return aLabels;
}

// Parses one line from left to right.
class LineParser
{
public:
  explicit LineParser(std::string_view aLine)
    : mRest(aLine)
  {
  }

  [[nodiscard]] bool AtEnd() const { return mRest.empty(); }

  void SkipSpace()
  {
    while (!mRest.empty() && (mRest.front() == ' ' || mRest.front() == '\t')) {
      mRest.remove_prefix(1);
    }
  }

  bool TryConsume(char aChar)
  {
    if (mRest.empty() || mRest.front() != aChar) {
      return false;
    }
    mRest.remove_prefix(1);
    return true;
  }

  // Consumes a name; empty if the next character does not start one.
  std::string TakeName()
  {
    if (mRest.empty() || !IsNameStart(mRest.front())) {
      return "";
    }
    const auto end = std::ranges::find_if_not(mRest, IsNamePart);
    std::string name(mRest.begin(), end);
    mRest.remove_prefix(name.size());
    return name;
  }

  // Consumes the text up to the next space or tab.
  std::string_view TakeWord()
  {
    const auto word = mRest.substr(0, mRest.find_first_of(" \t"));
    mRest.remove_prefix(word.size());
    return word;
  }

  // Consumes a quoted value and returns it unescaped.
  tl::expected<std::string, std::string> TakeQuoted();

private:
  std::string_view mRest;
};

tl::expected<std::string, std::string>
LineParser::TakeQuoted()
{
  if (!TryConsume('"')) {
    return tl::unexpected<std::string>("a label value must be quoted");
  }
  std::string value;
  while (!mRest.empty()) {
    char next = mRest.front();
    mRest.remove_prefix(1);
    if (next == '"') {
      return value;
    }
    if (next == '\\') {
      if (mRest.empty()) {
        break;
      }
      next = mRest.front() == 'n' ? '\n' : mRest.front();
      mRest.remove_prefix(1);
    }
    value += next;
  }
  return tl::unexpected<std::string>("a label value has no closing quote");
}

tl::expected<MetricLabels, std::string>
ParseLabels(LineParser& aReader)
{
  MetricLabels labels;
  if (!aReader.TryConsume('{')) {
    return labels;
  }
  while (!aReader.TryConsume('}')) {
    std::string name = aReader.TakeName();
    if (name.empty() || !aReader.TryConsume('=')) {
      return tl::unexpected<std::string>("a label must be NAME=\"VALUE\"");
    }
    auto value = aReader.TakeQuoted();
    if (!value) {
      return tl::unexpected(value.error());
    }
    labels.push_back({ std::move(name), std::move(*value) });
    aReader.TryConsume(',');
  }
  return labels;
}

tl::expected<double, std::string>
ParseValue(std::string_view aWord)
{
  if (aWord == "NaN") {
    return std::numeric_limits<double>::quiet_NaN();
  }
  if (aWord.starts_with('+')) {
    aWord.remove_prefix(1);
  }
  double value = 0;
  const auto* end = aWord.data() + aWord.size();
  const auto [ptr, ec] = std::from_chars(aWord.data(), end, value);
  if (ec != std::errc{} || ptr != end || aWord.empty()) {
    return tl::unexpected("\"" + std::string(aWord) + "\" is not a number");
  }
  return value;
}

tl::expected<MetricSample, std::string>
ParseSample(std::string_view aLine)
{
  LineParser reader(aLine);
  MetricSample sample;
  sample.name = reader.TakeName();
  if (sample.name.empty()) {
    return tl::unexpected<std::string>("a line must start with a name");
  }
  auto labels = ParseLabels(reader);
  if (!labels) {
    return tl::unexpected(labels.error());
  }
  sample.labels = std::move(*labels);
  reader.SkipSpace();
  const auto value = ParseValue(reader.TakeWord());
  if (!value) {
    return tl::unexpected(value.error());
  }
  sample.value = *value;
  reader.SkipSpace();
  const auto stamp = reader.TakeWord();
  if (!reader.AtEnd() || (!stamp.empty() && !ParseValue(stamp))) {
    return tl::unexpected<std::string>("text after the value");
  }
  return sample;
}

} // namespace

bool
IsMetricName(std::string_view aName)
{
  return !aName.empty() && IsNameStart(aName.front()) &&
         std::ranges::all_of(aName, IsNamePart);
}

void
MetricsWriter::Write(const MetricFamily<Counter>& aFamily)
{
  WriteHeader(aFamily.Options(), "counter");
  for (const auto& [values, it] : aFamily.Series()) {
    WriteSample(
      aFamily.Options().name, LabelsOf(aFamily.Options(), values), it->Value());
  }
}

void
MetricsWriter::Write(const MetricFamily<Gauge>& aFamily)
{
  WriteHeader(aFamily.Options(), "gauge");
  for (const auto& [values, it] : aFamily.Series()) {
    WriteSample(
      aFamily.Options().name, LabelsOf(aFamily.Options(), values), it->Value());
  }
}

void
MetricsWriter::Write(const MetricFamily<Histogram>& aFamily)
{
  const auto& options = aFamily.Options();
  WriteHeader(options, "histogram");
  for (const auto& [values, it] : aFamily.Series()) {
    const auto labels = LabelsOf(options, values);
    for (std::size_t n = 0; n < it->Bounds().size(); ++n) {
      WriteSample(options.name + "_bucket",
                  WithLabel(labels, "le", FormatValue(it->Bounds()[n])),
                  static_cast<double>(it->CountUpTo(n)));
    }
    const auto count = static_cast<double>(it->Count());
    WriteSample(
      options.name + "_bucket", WithLabel(labels, "le", "+Inf"), count);
    WriteSample(options.name + "_sum", labels, it->Sum());
    WriteSample(options.name + "_count", labels, count);
  }
}

void
MetricsWriter::Write(const MetricFamily<Summary>& aFamily)
{
  const auto& options = aFamily.Options();
  WriteHeader(options, "summary");
  for (const auto& [values, it] : aFamily.Series()) {
    const auto labels = LabelsOf(options, values);
    for (const double quantile : Summary::kQuantiles) {
      const double estimate = it->Quantile(quantile).value_or(
        std::numeric_limits<double>::quiet_NaN());
      WriteSample(options.name,
                  WithLabel(labels, "quantile", FormatValue(quantile)),
                  estimate);
    }
    WriteSample(options.name + "_sum", labels, it->Sum());
    WriteSample(
      options.name + "_count", labels, static_cast<double>(it->Count()));
  }
}

void
MetricsWriter::WriteHeader(const MetricOptions& aOptions,
                           std::string_view aType)
{
  mText += "# HELP " + aOptions.name;
  mText += ' ';
  mText += Escape(aOptions.help, false);
  mText += "\n# TYPE " + aOptions.name;
  mText += ' ';
  mText += aType;
  mText += '\n';
}

void
MetricsWriter::WriteSample(std::string_view aName,
                           const MetricLabels& aLabels,
                           double aValue)
{
  mText += aName;
  if (!aLabels.empty()) {
    char separator = '{';
    for (const auto& it : aLabels) {
      mText += separator;
      mText += it.name;
      mText += "=\"";
      mText += Escape(it.value, true);
      mText += '"';
      separator = ',';
    }
    mText += '}';
  }
  mText += ' ';
  mText += FormatValue(aValue);
  mText += '\n';
}

tl::expected<std::vector<MetricSample>, MetricsTextError>
ParseMetrics(std::string_view aText)
{
  std::vector<MetricSample> samples;
  std::size_t number = 0;
  while (!aText.empty()) {
    ++number;
    const auto end = aText.find('\n');
    const auto line = aText.substr(0, end);
    aText.remove_prefix(end == std::string_view::npos ? aText.size() : end + 1);
    if (line.empty() || line.front() == '#') {
      continue;
    }
    auto sample = ParseSample(line);
    if (!sample) {
      return tl::unexpected(MetricsTextError{ number, sample.error() });
    }
    samples.push_back(std::move(*sample));
  }
  return samples;
}

} // namespace firefly
