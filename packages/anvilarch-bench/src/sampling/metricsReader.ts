/** Parses the metrics of a daemon in the Prometheus text format. */

/** A value of a metric with its labels. */
export interface MetricSample {
  name: string
  labels: Record<string, string>
  value: number
}

const SAMPLE_LINE = /^([A-Za-z_:][\w:]*)(?:\{(.*)\})?\s+(\S+)/
const LABEL = /(\w+)="((?:[^"\\]|\\.)*)"/g

/**
 * @param text - metrics in the text format
 * @returns the samples; comments and malformed lines are skipped
 */
export function parseMetrics (text: string): MetricSample[] {
  const samples: MetricSample[] = []
  for (const line of text.split('\n')) {
    const match = line.startsWith('#') ? null : SAMPLE_LINE.exec(line)
    if (match === null) continue
    const labels = Object.fromEntries([...(match[2] ?? '').matchAll(LABEL)].map(([, name, value]) => [name, value]))
    samples.push({ name: match[1], labels, value: Number(match[3]) })
  }
  return samples
}

/**
 * @param samples - samples of one or more daemons
 * @param name - name of the metric
 * @param labels - labels that must match
 * @returns the sum of the matching values
 */
export function sumMetric (samples: readonly MetricSample[], name: string, labels: Record<string, string> = {}): number {
  const wanted = Object.entries(labels)
  return samples
    .filter(sample => sample.name === name && wanted.every(([label, value]) => sample.labels[label] === value))
    .reduce((sum, sample) => sum + sample.value, 0)
}
