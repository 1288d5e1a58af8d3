//! Differences of variants as a plot.

use std::path::Path;

use plotters::prelude::{
    BLACK, ChartBuilder, Circle, Color, IntoDrawingArea, Palette, Palette99, PathElement,
    SVGBackend, WHITE,
};

use super::table::{Row, Table};

/// Width of the plot, and height of one row, in pixels.
const WIDTH: u32 = 900;
const ROW_HEIGHT: u32 = 26;
/// Height of axis, title and margins in pixels.
const FRAME: u32 = 110;
/// Space for the rows' names in pixels.
const NAMES: u32 = 260;

/// Draws each row's mean difference from the first variant, with one standard deviation to both
/// sides.
///
/// # Errors
/// The file cannot be written.
pub fn draw(table: &Table, file: &Path) -> anyhow::Result<()> {
    let rows: Vec<&Row> = table.rows.iter().collect();
    let count = u32::try_from(rows.len())?;
    let area = SVGBackend::new(file, (WIDTH, FRAME + ROW_HEIGHT * count)).into_drawing_area();
    area.fill(&WHITE)?;
    let reach = rows.iter().map(|row| {
        let difference = row.difference;
        difference.mean.abs() + difference.deviation
    });
    let reach = reach.fold(0.02, f64::max) * 1.1;
    let height = f64::from(count);
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "worth, difference from the first variant",
            ("sans-serif", 18),
        )
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(NAMES)
        .build_cartesian_2d(-reach..reach, 0.0..height)?;
    let name = |place: &f64| name_row(&rows, height - place);
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(rows.len() * 2 + 1)
        .y_label_formatter(&name)
        .draw()?;
    let zero = PathElement::new([(0.0, 0.0), (0.0, height)], BLACK);
    chart.draw_series([zero])?;
    for (place, row) in rows.iter().enumerate() {
        let middle = height - f64::from(u32::try_from(place)?) - 0.5;
        let color = Palette99::pick(place).filled();
        let (mean, deviation) = (row.difference.mean, row.difference.deviation);
        let spread = [(mean - deviation, middle), (mean + deviation, middle)];
        chart.draw_series([PathElement::new(spread, color.stroke_width(2))])?;
        chart.draw_series([Circle::new((mean, middle), 4, color)])?;
    }
    area.present()?;
    Ok(())
}

/// Name of the row in whose middle a label of the axis stands, if it does.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a row's number"
)]
fn name_row(rows: &[&Row], from_top: f64) -> String {
    let is_middle = (from_top.fract() - 0.5).abs() < 0.1;
    let row = rows.get(from_top.max(0.0).floor() as usize);
    row.filter(|_| is_middle)
        .map_or_else(String::new, |row| format!("{} {}", row.site, row.variant))
}
